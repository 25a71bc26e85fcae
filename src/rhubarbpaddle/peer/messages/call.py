"""A request on its way from the gateway to the sidecar."""

import msgspec


class Call(msgspec.Struct, array_like=True, tag="call", frozen=True):
    """The head of a request, with its body if that is short.

    Attributes:
        request_id: Names the request in logs on every node.
        tenant: The tenant that the request belongs to.
        service: The service that it is for.
        instance: The chosen instance.
        incarnation: The upstream's incarnation that the choice rests on.
        method: The HTTP method.
        target: The HTTP request target.
        headers: End-to-end headers, names in lower case.
        time_left_ms: Milliseconds until an answer is useless.
        idempotent: Whether the request may be sent more than once.
        key: The idempotency key, or the empty string.
        attempt: The number of this attempt.
        depth: How many calls deep the request is.
        may_queue: Whether the request may wait for a slot.
        claim: The claim that permits a non-idempotent request.
        fingerprint: A digest that names equal requests.
        configuration_version: The version in force at the gateway.
        body: The body, or None if it follows in parts after `Admitted`.
        body_length: Bytes that follow, or None if that is not known.
        route: The route that the request came by, or the empty string.
        priority: The rank of its route, 0 for the most urgent.
        useful_left_ms: Milliseconds until an answer is worth much less, or
            None if there is no such time before the deadline.
        calling_service: The service on the host where the request began.
    """

    request_id: str
    tenant: str
    service: str
    instance: str
    incarnation: int
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    time_left_ms: int
    idempotent: bool
    key: str
    attempt: int
    depth: int
    may_queue: bool
    claim: str
    fingerprint: str
    configuration_version: int
    body: bytes | None
    body_length: int | None
    route: str = ""
    priority: int = 0
    useful_left_ms: int | None = None
    calling_service: str = ""
