"""The state of an upstream."""

from enum import StrEnum


class UpstreamState(StrEnum):
    """The state of an upstream as recorded by the node beside it.

    Only a `COLD` or `WARM` upstream gets requests. A `COLD` one is in its cold
    start and sustains fewer of them, a `LEAVING` one shuts down, and a `DOWN`
    one can't be reached.
    """

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"
    DOWN = "down"
