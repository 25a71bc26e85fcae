"""Message that completes the handshake."""

import msgspec


class Welcome(msgspec.Struct, array_like=True, tag="welcome", frozen=True):
    """Accepts the connection.

    Attributes:
        node_id: The accepting node's id.
        incarnation: The accepting node's incarnation.
    """

    node_id: str
    incarnation: int
