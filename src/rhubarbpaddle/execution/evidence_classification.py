"""What the end of a request shows of the upstream that ran it."""

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.observed_body import ObservedBody
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.measuring import NO_EVIDENCE, Evidence, EvidenceKind

_KINDS = {
    "upstream_lost": EvidenceKind.LOST,
    "upstream_timeout": EvidenceKind.TIMED_OUT,
    "upstream_unreachable": EvidenceKind.UNREACHABLE,
}
_SHED_STATUSES = (429, 503)


def classify_response(response: Response, request_body: Body, elapsed: float) -> Evidence:
    """Returns what an answer shows.

    Args:
        response: The answer.
        source: The body that was sent.
        elapsed: Seconds from the start to the answer's head.
    """
    if response.status in _SHED_STATUSES:
        return Evidence(EvidenceKind.SHED)
    if response.status >= 500:
        return Evidence(EvidenceKind.FAILED)
    # The time of an upload shows the caller's speed.
    latency = elapsed if isinstance(request_body, BytesBody) else None
    return Evidence(EvidenceKind.ANSWERED, latency)


def classify_error(exc: RefusedError, request_body: Body) -> Evidence:
    """Returns what a request without an answer shows.

    Args:
        exc: Why there is no answer.
        source: The body that was sent.
    """
    if isinstance(request_body, ObservedBody) and request_body.failed:
        return NO_EVIDENCE
    return Evidence(_KINDS.get(exc.code, EvidenceKind.NONE))
