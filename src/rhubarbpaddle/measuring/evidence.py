"""What the end of one request shows of the upstream."""

from typing import NamedTuple

from rhubarbpaddle.measuring.evidence_kind import EvidenceKind


class Evidence(NamedTuple):
    """The end of one request or probe.

    Attributes:
        kind: How it ended.
        latency: Seconds from the first byte sent to the response head, or
            None if they do not show the upstream's speed, for example because
            the caller uploaded the body in the meantime.
    """

    kind: EvidenceKind
    latency: float | None = None


NO_EVIDENCE = Evidence(EvidenceKind.NONE)
