"""Requests that crashed upstreams, from node to node."""

import msgspec

from rhubarbpaddle.execution.strike_update import StrikeUpdate


class Strikes(msgspec.Struct, array_like=True, tag="strikes", frozen=True):
    """Strikes that have been added or cleared.

    Attributes:
        updates: The newest state of each fingerprint.
    """

    updates: tuple[StrikeUpdate, ...]
