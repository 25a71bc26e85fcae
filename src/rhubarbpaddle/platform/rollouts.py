"""Assembles the parts of a node that roll out versions of services."""

import random
from collections.abc import Callable, Iterable
from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.execution.response_observer import (
    NO_OBSERVER,
    ResponseObserver,
)
from rhubarbpaddle.execution.version_policy import ALL_VERSIONS, VersionPolicy
from rhubarbpaddle.membership import MemberTable
from rhubarbpaddle.platform.rollout_status_store import RolloutStatusStore
from rhubarbpaddle.platform.store_client import StoreClient
from rhubarbpaddle.rollout.contact_watch import ContactWatch
from rhubarbpaddle.rollout.decider_election import DeciderElection
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.rollout.response_recorder import ResponseRecorder
from rhubarbpaddle.rollout.rollout_board import RolloutBoard
from rhubarbpaddle.rollout.rollout_controller import RolloutController
from rhubarbpaddle.rollout.rollout_decider import RolloutDecider
from rhubarbpaddle.rollout.rollout_table import RolloutTable
from rhubarbpaddle.rollout.rollout_terms import RolloutTerms
from rhubarbpaddle.rollout.version_gate import VersionGate
from rhubarbpaddle.rollout.version_table import VersionTable
from rhubarbpaddle.telemetry import get_logger

_log = get_logger("rollout")


class Rollouts:
    """Holds the parts; without terms, they permit everything and do nothing.

    Attributes:
        board: The phases and counts of all nodes.
        policy: Restricts the gateway's choice of instances.
        observer: Learns how requests end at the instance beside this node.
        election: Elects the nodes that decide.
    """

    def __init__(
        self,
        terms: RolloutTerms | None,
        table: MemberTable,
        store: StoreClient,
        has_active_link: Callable[[], bool],
        is_in_service: Callable[[str], bool],
        get_configuration: Callable[[], RoutingConfiguration | None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Creates the parts.

        Args:
            terms: The limits of roll-outs, or None to ignore all orders.
            table: The members.
            store: The platform's store.
            has_active_link: Returns whether a neighbour has sent anything very
                recently.
            is_in_service: Returns whether a zone may receive new requests.
            get_configuration: Returns the configuration in force.
            clock: The source of time.
            rng: Determines which requests go to a target version.
        """
        self.board = RolloutBoard(table)
        self.policy: VersionPolicy = ALL_VERSIONS
        self.observer: ResponseObserver = NO_OBSERVER
        self.election = DeciderElection(table, clock, has_active_link)
        self._controller: RolloutController | None = None
        if terms is None:
            return
        self._get_configuration = get_configuration
        rollouts = RolloutTable(self.board)
        # A node without contact must stop before the others have to.
        contact = ContactWatch(clock, has_active_link, terms.rollback_time / 2)
        status_store = RolloutStatusStore(store)
        self._versions = versions = VersionTable(table, clock, is_in_service)
        recorder = ResponseRecorder(rollouts, clock, lambda: table.own)

        def make_decider(entry: ObservedOrder) -> RolloutDecider:
            return RolloutDecider(
                entry,
                self._get_request_time(entry.order.service),
                self.board,
                versions,
                self.election,
                contact,
                status_store,
                clock,
                _log,
            )

        self.policy = VersionGate(
            terms,
            versions,
            rollouts,
            contact,
            self.election.sees_majority,
            clock,
            rng,
        )
        self.observer = recorder
        self._controller = RolloutController(
            rollouts, self.board, versions, recorder, make_decider, clock, _log
        )

    def apply(self, orders: Iterable[ObservedOrder]) -> None:
        """Applies the orders and the zones of a new configuration."""
        if self._controller is not None:
            self._versions.invalidate()
            self._controller.set_orders(orders)

    async def run(self) -> None:
        """Runs all roll-outs until cancelled."""
        if self._controller is not None:
            await self._controller.run()

    def _get_request_time(self, service: str) -> timedelta:
        """Returns the longest timeout of the service's routes."""
        cfg = self._get_configuration()
        routes = cfg.routes if cfg is not None else ()
        return max(
            (
                route.timeout
                for route in routes
                if any(entry.service == service for entry in route.destinations)
            ),
            default=timedelta(),
        )
