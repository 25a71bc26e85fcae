"""What an instance reports of itself to the node beside it."""

from datetime import timedelta
from typing import NamedTuple


class InstanceReport(NamedTuple):
    """One report.

    Attributes:
        instance: The instance's id.
        incarnation: Changes each time the instance starts; later starts have
            higher numbers.
        sequence: Counts the reports of one incarnation.
        service: The service that it belongs to.
        slots: Requests that it can run at once.
        leaving: Whether it is about to end.
        cold_time: How much longer it stays cold.
    """

    instance: str
    incarnation: int
    sequence: int
    service: str
    slots: int
    leaving: bool
    cold_time: timedelta
