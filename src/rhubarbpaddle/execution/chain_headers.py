"""The headers that limit work along a chain of calls."""

from rhubarbpaddle.execution.request import Request

_ATTEMPT = b"rhubarbpaddle-attempt"
_DEPTH = b"rhubarbpaddle-depth"
_TIMEOUT = b"rhubarbpaddle-timeout-ms"
_NAMES = frozenset({_ATTEMPT, _DEPTH, _TIMEOUT})


def write_chain_headers(request: Request, now: float) -> Request:
    """Returns the request as the upstream gets it.

    An upstream that copies these headers to its own calls passes on the time
    left, its depth, and whether a node above has already retried.

    Args:
        request: The request.
        now: Monotonic seconds.
    """
    time_left_ms = max(0, int((request.deadline - now) * 1000))
    headers = [item for item in request.headers if item[0] not in _NAMES]
    headers += [
        (_ATTEMPT, b"%d" % request.attempt),
        (_DEPTH, b"%d" % (request.depth + 1)),
        (_TIMEOUT, b"%d" % time_left_ms),
    ]
    return request._replace(headers=headers)
