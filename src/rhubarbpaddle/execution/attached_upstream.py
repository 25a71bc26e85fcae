"""The upstream beside a node, with the objects that send requests to it."""

from typing import NamedTuple

from rhubarbpaddle.admission.admission import Admission
from rhubarbpaddle.execution.reachability import Reachability
from rhubarbpaddle.execution.upstream_client import UpstreamClient
from rhubarbpaddle.membership import UpstreamSummary


class AttachedUpstream(NamedTuple):
    """Groups the upstream that announced itself with its components.

    Attributes:
        summary: The state that the upstream announced.
        admission: Admits, queues or refuses requests.
        client: Sends requests to the upstream.
        reachability: Checks whether the upstream accepts connections.
    """

    summary: UpstreamSummary
    admission: Admission
    client: UpstreamClient
    reachability: Reachability
