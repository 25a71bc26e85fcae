"""The state of an upstream."""

from enum import StrEnum


class UpstreamState(StrEnum):
    """What the node beside an upstream knows of it."""

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"
    DOWN = "down"
