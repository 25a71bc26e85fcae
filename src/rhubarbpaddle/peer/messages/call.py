"""Message that forwards a request from the gateway to a sidecar."""

import msgspec


class Call(msgspec.Struct, array_like=True, tag="call", frozen=True):
    """Carries the head of a request, and its body if that is short.

    Attributes:
        request_id: Identifies the request in the logs of all nodes.
        organisation: The request's organisation.
        service: The requested service.
        instance: The chosen instance.
        incarnation: The incarnation of the upstream that was chosen.
        method: The HTTP method.
        target: The HTTP request target.
        headers: End-to-end headers, names in lower case.
        remaining_ms: Milliseconds until the deadline.
        idempotent: Whether the request may be sent more than once.
        key: The idempotency key, or the empty string.
        attempt: The number of this attempt.
        depth: The number of calls in the chain above this request.
        may_queue: Whether the request may wait for a slot.
        claim: The claim that permits a non-idempotent request.
        fingerprint: A digest that is the same for equal requests.
        configuration_version: The version in force at the gateway.
        body: The body, or None if it follows in chunks after `Admitted`.
        body_length: Length of the body in bytes, or None if not known.
        route: The route that the request matched, or the empty string.
        priority: The priority of the route; 0 is the most urgent.
        latency_target_ms: Milliseconds until the latency target, or None if
            there is none before the deadline.
        calling_service: The service on the host where the request originated.
        usage_ratio: The organisation's recent requests relative to its usage
            cap, or 0 if unknown.
        spillover: Whether the request left a zone that has instances of its
            service.
    """

    request_id: str
    organisation: str
    service: str
    instance: str
    incarnation: int
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    remaining_ms: int
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
    latency_target_ms: int | None = None
    calling_service: str = ""
    usage_ratio: float = 0.0
    spillover: bool = False
