"""The headers that limit retries, depth and time along a chain of calls."""

from rhubarbpaddle.execution.request import Request

_ATTEMPT_HEADER = b"rhubarbpaddle-attempt"
_DEPTH_HEADER = b"rhubarbpaddle-depth"
_TIMEOUT_HEADER = b"rhubarbpaddle-timeout-ms"
_CHAIN_HEADERS = frozenset({_ATTEMPT_HEADER, _DEPTH_HEADER, _TIMEOUT_HEADER})


def add_chain_headers(request: Request, now: float) -> Request:
    """Returns the request with the chain headers that its upstream receives.

    An upstream that copies these headers to its own calls passes on the
    remaining time, the depth in the chain, and whether a node earlier in the
    chain has already retried.

    Args:
        request: The request.
        now: The current monotonic time in seconds.
    """
    remaining_ms = max(0, int((request.deadline - now) * 1000))
    headers = [
        header for header in request.headers if header[0] not in _CHAIN_HEADERS
    ]
    headers += [
        (_ATTEMPT_HEADER, b"%d" % request.attempt),
        (_DEPTH_HEADER, b"%d" % (request.depth + 1)),
        (_TIMEOUT_HEADER, b"%d" % remaining_ms),
    ]
    return request._replace(headers=headers)
