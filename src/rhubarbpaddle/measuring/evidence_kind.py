"""The ways in which a request or probe at an upstream ends."""

from enum import StrEnum


class EvidenceKind(StrEnum):
    """Classifies the end of a request by what it shows about the upstream.

    `RESPONDED` is a response with a status below 500, `FAILED` one of 500 or
    above that is not load shedding, `SHED` a 429 or 503, `TIMED_OUT` no
    response before the deadline, `LOST` a connection that broke during the
    request, and `UNREACHABLE` a connection that could not be opened. `NONE`
    shows nothing, for example because the caller cancelled the request.
    """

    RESPONDED = "answered"
    FAILED = "failed"
    SHED = "shed"
    TIMED_OUT = "timed-out"
    LOST = "lost"
    UNREACHABLE = "unreachable"
    NONE = "none"
