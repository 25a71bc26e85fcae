"""An observation of the upstream from the end of one request."""

from typing import NamedTuple

from rhubarbpaddle.measuring.evidence_kind import EvidenceKind


class Evidence(NamedTuple):
    """How one request or probe ended, and its latency.

    Attributes:
        kind: How it ended.
        latency: Seconds from the first byte sent to the response head. None
            if they don't reflect the upstream's speed, for example because the
            caller uploaded the body in the meantime.
    """

    kind: EvidenceKind
    latency: float | None = None


NO_EVIDENCE = Evidence(EvidenceKind.NONE)
