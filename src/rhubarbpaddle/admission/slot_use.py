"""Which slots of an instance were used while a request ran."""

from enum import Enum


class SlotUse(Enum):
    """Which slots were used while a request ran.

    The last slots are those that are used only while requests wait. `LAST` is
    a request that started in one of them, `BESIDE_LAST` one that started in
    another slot and during which a request started in a last slot, and `FIRST`
    any other request.
    """

    FIRST = "first"
    BESIDE_LAST = "beside_last"
    LAST = "last"
