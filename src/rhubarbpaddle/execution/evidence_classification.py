"""Derives evidence about an upstream's health from the end of a request."""

from rhubarbpaddle.exceptions import (
    PeerSilentError,
    RefusedError,
    RhubarbpaddleError,
)
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


def classify_response(
    response: Response, request_body: Body, elapsed: float
) -> Evidence:
    """Classifies a response as evidence about its upstream.

    Args:
        response: The response.
        request_body: The body that was sent.
        elapsed: Seconds from sending the request to the response's head.
    """
    if response.status in _SHED_STATUSES:
        return Evidence(EvidenceKind.SHED)
    if response.status >= 500:
        return Evidence(EvidenceKind.FAILED)
    # The latency of a streamed request depends on how fast its caller sends.
    latency = elapsed if isinstance(request_body, BytesBody) else None
    return Evidence(EvidenceKind.RESPONDED, latency)


def classify_error(exc: RefusedError, request_body: Body) -> Evidence:
    """Classifies a failed request as evidence about its upstream.

    Args:
        exc: Why there is no response.
        request_body: The body that was sent. If reading it failed, the error
            is no evidence about the upstream.
    """
    if isinstance(request_body, ObservedBody) and request_body.failed:
        return NO_EVIDENCE
    return Evidence(_KINDS.get(exc.code, EvidenceKind.NONE))


def classify_failed_body(
    exc: RhubarbpaddleError, head_evidence: Evidence, *, passed_on: bool
) -> Evidence:
    """Classifies a response whose body failed as evidence about its upstream.

    Args:
        exc: Why the body failed.
        head_evidence: The evidence of the response's head.
        passed_on: Whether its receiver has read the body. If the body did not
            end in time, the receiver may be the cause.
    """
    if not isinstance(exc, PeerSilentError):
        return Evidence(EvidenceKind.LOST)
    return head_evidence if passed_on else Evidence(EvidenceKind.TIMED_OUT)
