"""The instance beside a node with what serves it."""

from typing import NamedTuple

from rhubarbpaddle.admission.instance_admission import InstanceAdmission
from rhubarbpaddle.execution.reachability import Reachability
from rhubarbpaddle.execution.upstream_client import UpstreamClient
from rhubarbpaddle.measuring.instance_monitor import InstanceMonitor
from rhubarbpaddle.membership import UpstreamSummary


class AttachedInstance(NamedTuple):
    """The instance that reports to this node.

    Attributes:
        summary: What the instance has reported.
        admission: Decides which requests may run.
        monitor: Holds the instance's newest reading.
        client: Sends requests.
        reachability: Tells whether the instance accepts connections.
    """

    summary: UpstreamSummary
    admission: InstanceAdmission
    monitor: InstanceMonitor
    client: UpstreamClient
    reachability: Reachability
