"""The result of the comparison of two versions."""

from typing import NamedTuple


class Verdict(NamedTuple):
    """What the responses so far say about the target version.

    Attributes:
        is_bad: Whether the evidence suffices to stop the roll-out.
        is_certainly_bad: Whether it exceeds what suffices by a factor of ten.
            Nodes that do not decide require this, so that they don't increase
            the probability of a false alarm noticeably.
        is_suspicious: Whether the evidence suffices not to promote the version
            yet, or not to complete its promotion.
        log_evidence: The strongest evidence against the version, as a natural
            logarithm; 0 is neutral.
        reason: The kind of bad responses and the route with that evidence.
        responses: Responses of the target version.
        failures: Failures of the target version.
        latencies: Responses of the target version with a known latency.
    """

    is_bad: bool
    is_certainly_bad: bool
    is_suspicious: bool
    log_evidence: float
    reason: str
    responses: int
    failures: int
    latencies: int
