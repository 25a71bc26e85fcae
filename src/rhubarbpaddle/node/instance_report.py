"""The report of an instance to the node on its host."""

from datetime import timedelta
from typing import NamedTuple

from rhubarbpaddle.node.instance_boot import InstanceBoot


class InstanceReport(NamedTuple):
    """An instance's report about itself.

    Attributes:
        instance: The instance's id.
        incarnation: A number that is higher after each start of the instance.
        sequence: The sequence number of the report within the incarnation.
        service: The service that it belongs to.
        slots: The number of requests that it can run concurrently.
        leaving: Whether it is about to stop.
        cold_time: The remaining time until the instance is warm.
        version: The version that the instance runs, or the empty string if it
            reports none.
    """

    instance: str
    incarnation: int
    sequence: int
    service: str
    slots: int
    leaving: bool
    cold_time: timedelta
    version: str = ""

    @property
    def boot(self) -> InstanceBoot:
        """The start of the instance that the report is about."""
        return InstanceBoot(self.instance, self.incarnation)
