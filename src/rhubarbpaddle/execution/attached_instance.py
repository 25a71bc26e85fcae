"""The instance beside a node, with the objects that send requests to it."""

from typing import NamedTuple

from rhubarbpaddle.admission.instance_admission import InstanceAdmission
from rhubarbpaddle.execution.reachability import Reachability
from rhubarbpaddle.execution.upstream_client import UpstreamClient
from rhubarbpaddle.measuring.instance_monitor import InstanceMonitor
from rhubarbpaddle.membership import UpstreamSummary


class AttachedInstance(NamedTuple):
    """Groups the instance that reports to this node with its components.

    Attributes:
        summary: The state that the instance has reported.
        admission: Admits, queues or refuses requests.
        monitor: Holds the newest load reading of the instance.
        client: Sends requests to the instance.
        reachability: Checks whether the instance accepts connections.
    """

    summary: UpstreamSummary
    admission: InstanceAdmission
    monitor: InstanceMonitor
    client: UpstreamClient
    reachability: Reachability
