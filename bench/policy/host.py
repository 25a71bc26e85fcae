"""A simulated host with a node and an optional upstream."""

from bench.policy.fake_upstream import FakeUpstream
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.execution.sidecar import Sidecar
from rhubarbpaddle.membership import MemberTable


class Host:
    """The state of a host, which scenarios change.

    Attributes:
        name: The id of the node and of the instance.
        zone: The availability zone.
        table: The node's member table.
        sidecar: The node's sidecar.
        upstream: The upstream beside the node, or None.
        accepted: The configuration in force at the node.
        reachable: False after the host is lost.
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
