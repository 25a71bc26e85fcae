"""One start of an instance."""

from typing import NamedTuple


class InstanceBoot(NamedTuple):
    """Identifies one start of an instance.

    Attributes:
        instance: The instance's id, which it may keep when it starts again.
        incarnation: A number that is higher after each start of the instance.
    """

    instance: str
    incarnation: int
