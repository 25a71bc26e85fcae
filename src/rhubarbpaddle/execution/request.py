"""A request on its way from a caller to an upstream."""

import math
from typing import NamedTuple

from rhubarbpaddle.execution.caller_presence import CallerPresence
from rhubarbpaddle.execution.always_connected_caller import ALWAYS_CONNECTED_CALLER

Headers = list[tuple[bytes, bytes]]


class Request(NamedTuple):
    """A request without its body.

    Attributes:
        request_id: Names the request in logs on every node.
        tenant: The tenant that the request belongs to.
        service: The service that it is for.
        method: The HTTP method.
        target: The HTTP request target.
        headers: End-to-end headers, names in lower case.
        deadline: Monotonic seconds on this node after which an answer is
            useless.
        idempotent: Whether it may be sent more than once.
        key: The idempotency key, or the empty string.
        attempt: 1 for the first try; higher if a node above has retried.
        depth: How many calls deep in a chain of services the request is.
        may_queue: False if the sender prefers another instance to waiting.
        claim: The token of the claim that permits a non-idempotent request.
        fingerprint: A digest that names equal requests.
        route: The route that it came by, or the empty string.
        priority: The rank of its route, 0 for the most urgent.
        useful_until: Monotonic seconds on this node after which an answer is
            worth much less; never later than the deadline.
        max_attempts: The instances that it may be sent to at most.
        calling_service: The service on the host where it began.
        caller: Whether somebody still waits for the answer. Each node asks
            before it begins a step; it does not travel to other nodes.
    """

    request_id: str
    tenant: str
    service: str
    method: str
    target: str
    headers: Headers
    deadline: float
    idempotent: bool
    key: str = ""
    attempt: int = 1
    depth: int = 0
    may_queue: bool = True
    claim: str = ""
    fingerprint: str = ""
    route: str = ""
    priority: int = 0
    useful_until: float = math.inf
    max_attempts: int = 1
    calling_service: str = ""
    caller: CallerPresence = ALWAYS_CONNECTED_CALLER
