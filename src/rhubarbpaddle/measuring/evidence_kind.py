"""How a request or probe at the upstream ended."""

from enum import StrEnum


class EvidenceKind(StrEnum):
    """What the end of a request shows of the upstream.

    `ANSWERED` is an answer below 500, `FAILED` one of 500 or more that is not
    load shedding, `SHED` a 429 or 503, `TIMED_OUT` no answer before the
    deadline, `LOST` a connection that broke mid-request, `UNREACHABLE` a
    connection that could not be opened. `NONE` shows nothing, for example
    because the caller cancelled the request.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    TIMED_OUT = "timed-out"
    LOST = "lost"
    UNREACHABLE = "unreachable"
    NONE = "none"
