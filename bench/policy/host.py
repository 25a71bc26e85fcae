"""A host with its node's parts and perhaps an upstream."""

from bench.policy.fake_upstream import FakeUpstream
from rhubarbpaddle.configuration import AcceptedConfiguration
from rhubarbpaddle.execution.sidecar import Sidecar
from rhubarbpaddle.membership import MemberTable


class Host:
    """What the scenes change.

    Attributes:
        name: The node's id, and the instance's name.
        zone: The availability zone.
        table: The node's member table.
        sidecar: The node's sidecar.
        upstream: The upstream beside the node.
        accepted: The configuration that the node holds.
        reachable: False once the host is gone.
        incarnation: The incarnation of the upstream.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        table: MemberTable,
        sidecar: Sidecar,
        accepted: AcceptedConfiguration,
    ) -> None:
        self.name = name
        self.zone = zone
        self.table = table
        self.sidecar = sidecar
        self.accepted = accepted
        self.upstream: FakeUpstream | None = None
        self.reachable = True
        self.incarnation = 1
