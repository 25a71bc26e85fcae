"""Message that rejects a connection during the handshake."""

import msgspec


class Reject(msgspec.Struct, array_like=True, tag="reject", frozen=True):
    """Rejects the connection.

    Attributes:
        detail: A human-readable reason.
    """

    detail: str
