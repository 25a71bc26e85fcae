"""What stands against the choice of an instance."""

from typing import NamedTuple


class InstanceCondition(NamedTuple):
    """Reasons to prefer other instances, the strongest first.

    Conditions compare in the order in which instances are chosen.

    Attributes:
        avoided: The node beside the instance can't be reached.
        busy: The instance was full or slow very recently.
        slow: The instance was slow very recently.
        cold: The instance was cold at its last report.
    """

    avoided: bool = False
    busy: bool = False
    slow: bool = False
    cold: bool = False


UNIMPAIRED = InstanceCondition()
