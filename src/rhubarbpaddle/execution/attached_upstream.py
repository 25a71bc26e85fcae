"""The upstream beside a node with what serves it."""

from typing import NamedTuple

from rhubarbpaddle.admission import Admission
from rhubarbpaddle.execution.reachability import Reachability
from rhubarbpaddle.execution.upstream_client import UpstreamClient
from rhubarbpaddle.membership import UpstreamSummary


class AttachedUpstream(NamedTuple):
    """The upstream that has announced itself.

    Attributes:
        summary: What the upstream announced.
        admission: Decides which requests may run.
        client: Sends requests.
        reachability: Tells whether the upstream accepts connections.
    """

    summary: UpstreamSummary
    admission: Admission
    client: UpstreamClient
    reachability: Reachability
