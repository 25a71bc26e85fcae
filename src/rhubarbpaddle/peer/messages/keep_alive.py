"""Message that shows that a call is still in progress."""

import msgspec


class KeepAlive(msgspec.Struct, array_like=True, tag="alive", frozen=True):
    """Confirms that the sidecar has received the call and still handles it."""
