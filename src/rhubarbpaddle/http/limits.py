"""Limits on callers' connections."""

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """Holds limits for each caller's connection and for all of them.

    Attributes:
        head_bytes: The maximum size of a request's head.
        idle_seconds: The timeout for the first byte of the next request.
        head_seconds: The timeout for a head, counted from its first byte.
        body_idle_seconds: The timeout for the next chunk of a body.
        send_seconds: The timeout until a caller has accepted one part of a
            streamed response, which occupies a slot of an instance.
        idle_connections: The maximum number of idle connections of all
            callers; beyond it the longest idle one is closed.
        discard_seconds: How long unread input is discarded before a connection
            is closed after a response.
        discard_bytes: How many bytes of unread input are discarded at most.
        keeps_half_closed: Whether a caller that has closed its sending side
            is still considered to wait for its response.
        requests_ahead: The maximum number of requests of a connection that are
            read before the one in front of them was answered.
        bytes_ahead: No further head is read ahead while those of a connection
            have this size or more.
        node_requests_ahead: The maximum number of requests of all connections
            that run ahead. Further ones wait for their turn.
    """

    head_bytes: int = 16 * 1024
    idle_seconds: float = 60.0
    head_seconds: float = 10.0
    body_idle_seconds: float = 30.0
    send_seconds: float = 60.0
    idle_connections: int = 8_192
    discard_seconds: float = 2.0
    discard_bytes: int = 1 << 20
    keeps_half_closed: bool = True
    requests_ahead: int = 8
    bytes_ahead: int = 32 * 1024
    node_requests_ahead: int = 64


DEFAULT_LIMITS = CallerLimits()
