"""Which slots of an instance were used while a request ran."""

from enum import Enum


class SlotUse(Enum):
    """The slot that a request began in, and those beside it."""

    FIRST = "first"
    BESIDE_LAST = "beside_last"
    LAST = "last"
