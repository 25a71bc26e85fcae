"""Assembles the usage caps of organisations on a node."""

from collections.abc import Callable
from typing import Self

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.execution.request_handler import RequestHandler
from rhubarbpaddle.execution.usage_gateway import UsageGateway
from rhubarbpaddle.membership import MemberTable
from rhubarbpaddle.network import Network
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.usage_client import UsageClient
from rhubarbpaddle.peer.usage_server import UsageServer
from rhubarbpaddle.telemetry import get_logger
from rhubarbpaddle.usage.fleet_view import FleetView
from rhubarbpaddle.usage.owner_search import OwnerSearch
from rhubarbpaddle.usage.quota_terms import QuotaTerms
from rhubarbpaddle.usage.silent_nodes import SilentNodes
from rhubarbpaddle.usage.usage_cap import UsageCap
from rhubarbpaddle.usage.usage_gate import UsageGate
from rhubarbpaddle.usage.usage_owner import UsageOwner


class UsageCaps:
    """The parts of a node that keep organisations to their usage caps.

    Attributes:
        server: Responds to the queries of other nodes.
        gate: Provides the tokens for the requests of this node's callers.
    """

    def __init__(
        self,
        server: UsageServer,
        gate: UsageGate,
        get_cap: Callable[[str], UsageCap | None],
        fleet: FleetView,
        clock: Clock,
    ) -> None:
        self.server = server
        self.gate = gate
        self._fleet = fleet
        self._get_cap = get_cap
        self._clock = clock

    @classmethod
    def from_config(
        cls,
        terms: QuotaTerms,
        get_configuration: Callable[[], RoutingConfiguration | None],
        table: MemberTable,
        has_active_link: Callable[[], bool],
        count_listed_nodes: Callable[[], int | None],
        network: Network,
        connector: PeerConnector,
        clock: Clock,
    ) -> Self:
        """Creates the parts of one node; see `FleetView` for the arguments."""

        def get_cap(name: str) -> UsageCap | None:
            cfg = get_configuration()
            organisation = cfg.organisations.get(name) if cfg else None
            if organisation is None or not organisation.is_capped:
                return None
            return UsageCap.from_config(organisation, terms)

        log = get_logger("usage")
        fleet = FleetView(table, clock, has_active_link, count_listed_nodes)
        owner = UsageOwner(fleet, clock, get_cap, log)
        silent_nodes = SilentNodes(clock, log)
        table.add_listener(silent_nodes.handle_member_change)
        search = OwnerSearch(
            table.own.node_id,
            fleet,
            owner,
            UsageClient(network, connector, clock),
            silent_nodes,
            clock,
        )
        gate = UsageGate(fleet, owner, search, clock)
        server = UsageServer(owner.grant, clock)
        return cls(server, gate, get_cap, fleet, clock)

    def has_contact(self) -> bool:
        """Returns whether the owners of the caps may be known."""
        self._fleet.observe()
        return self._fleet.has_contact

    def wrap(self, handler: RequestHandler) -> RequestHandler:
        """Returns a handler that applies the caps before another one."""
        return UsageGateway(handler, self.gate, self._get_cap, self._clock)

    async def run(self) -> None:
        """Runs the tasks of the caps until cancelled."""
        await self.gate.run()
