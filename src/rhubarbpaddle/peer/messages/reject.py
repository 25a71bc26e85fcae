"""The accepting node's refusal of a connection."""

import msgspec


class Reject(msgspec.Struct, array_like=True, tag="reject", frozen=True):
    """The connection is refused.

    Attributes:
        detail: The reason, for a person.
    """

    detail: str
