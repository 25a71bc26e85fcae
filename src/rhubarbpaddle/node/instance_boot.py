"""One start of an instance."""

from datetime import datetime
from typing import NamedTuple


class InstanceBoot(NamedTuple):
    """Identifies one start of an instance.

    Attributes:
        instance: The instance's id, which it may keep when it starts again.
        incarnation: A number that is higher after each start of the instance.
    """

    instance: str
    incarnation: int


def compute_incarnation(now: datetime) -> int:
    """Returns the incarnation of a boot: milliseconds since the epoch."""
    return int(now.timestamp() * 1000)
