"""The accepting node's consent."""

import msgspec


class Welcome(msgspec.Struct, array_like=True, tag="welcome", frozen=True):
    """The connection may be used.

    Attributes:
        node_id: The accepting node.
        incarnation: The accepting node's incarnation.
    """

    node_id: str
    incarnation: int
