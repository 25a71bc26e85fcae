"""A request on its way from a caller to an upstream."""

import math
from typing import NamedTuple

from rhubarbpaddle.execution.always_connected_caller import (
    ALWAYS_CONNECTED_CALLER,
)
from rhubarbpaddle.execution.caller_presence import CallerPresence
from rhubarbpaddle.execution.permanent_permission import PERMANENT_PERMISSION
from rhubarbpaddle.execution.request_permission import RequestPermission

Headers = list[tuple[bytes, bytes]]


class Request(NamedTuple):
    """Describes a request without its body.

    Attributes:
        request_id: Identifies the request in the logs of every node.
        organisation: The organisation that the request belongs to.
        service: The service that must run the request.
        method: The HTTP method.
        target: The HTTP request target.
        headers: End-to-end headers with names in lower case.
        deadline: When a response becomes useless, in monotonic seconds on this
            node.
        idempotent: Whether it may be sent more than once.
        key: The idempotency key, or the empty string.
        attempt: 1 for the first attempt; higher if this gateway or a node
            earlier in the chain of calls has retried.
        depth: The number of calls between services that precede the request in
            its chain of calls.
        may_queue: Whether the request may wait in the queue of the instance;
            False if the sender prefers to try another instance.
        claim: The id of the claim that permits a non-idempotent request, or the
            empty string.
        fingerprint: Digest that identifies equal requests, or the empty string.
        route: The route that matched the request, or the empty string.
        priority: The rank of its route; 0 is the most urgent.
        useful_until: When the value of a response drops sharply, in monotonic
            seconds on this node; never later than the deadline.
        max_attempts: The maximum number of instances that the request may be
            sent to.
        calling_service: The service on the host where the request originated.
        large_response: Whether its response is expected to be large.
        usage_ratio: The organisation's recent requests at all nodes relative to
            its usage cap, or 0 if unknown.
        caller: Detects whether the sender has disconnected. Each node checks
            this before it begins a step. It is not sent to other nodes.
        permission: What entitles the caller to the request. The gateway checks
            it before each attempt. It is not sent to other nodes.
        spillover: Whether it was sent to another zone although its own has
            instances of the service.
    """

    request_id: str
    organisation: str
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
    large_response: bool = False
    usage_ratio: float = 0.0
    caller: CallerPresence = ALWAYS_CONNECTED_CALLER
    permission: RequestPermission = PERMANENT_PERMISSION
    spillover: bool = False
