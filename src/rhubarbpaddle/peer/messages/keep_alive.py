"""A sign of life during a long wait."""

import msgspec


class KeepAlive(msgspec.Struct, array_like=True, tag="alive", frozen=True):
    """The sidecar still works on the call."""
