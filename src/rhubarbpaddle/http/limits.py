"""What a caller may take of a node."""

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """Limits of one caller's connection, and of all together.

    Attributes:
        head_bytes: The longest head of a request.
        idle_seconds: How long a connection may wait for its next request.
        head_seconds: How long a head may take from its first byte.
        body_idle_seconds: How long a body may pause.
        idle_connections: Connections that may wait for their next request at
            once; beyond that the one that waits longest is closed.
        linger_seconds: How long the rest of a request is discarded after an
            answer that came before the request's end.
        linger_bytes: How much of the rest is discarded at most.
        keeps_half_closed: Whether a caller that has closed its sending side
            still waits for its answer.
    """

    head_bytes: int = 16 * 1024
    idle_seconds: float = 60.0
    head_seconds: float = 10.0
    body_idle_seconds: float = 30.0
    idle_connections: int = 8_192
    linger_seconds: float = 2.0
    linger_bytes: int = 1 << 20
    keeps_half_closed: bool = True


DEFAULT_LIMITS = CallerLimits()
