"""The numbers by which orders of roll-outs are compared."""

# Offsets stay far below: the store deletes records above 200 MB.
_OFFSET_BITS = 40


def make_order_number(era: int, offset: int) -> int:
    """Returns the number of the order in a record.

    Args:
        era: The era in which the record was read.
        offset: The offset of the record.
    """
    return (era << _OFFSET_BITS) + offset


def get_order_era(number: int) -> int:
    """Returns the era in which the order's record was read."""
    return number >> _OFFSET_BITS
