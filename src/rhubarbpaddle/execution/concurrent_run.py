"""Which requests of one connection may run at the same time."""

from rhubarbpaddle.execution.request import Request

# Other methods may change what a request behind them reads, even if they may
# be repeated (RFC 9112, section 9.3.2).
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def may_run_concurrently(request: Request) -> bool:
    """Returns whether a request may run beside others of its connection.

    Callers that send requests without waiting for responses expect the effects
    in the order of the requests. Only requests without a body qualify; the
    caller of this function checks that.
    """
    return request.idempotent and request.method in _SAFE_METHODS
