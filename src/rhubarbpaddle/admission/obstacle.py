"""Why an instance should not get a request at this moment."""

from enum import StrEnum


class Obstacle(StrEnum):
    """What speaks against an instance; it passes by itself."""

    COLD = "cold"
    FULL = "full"
    SLOW = "slow"
    FAILING = "failing"
