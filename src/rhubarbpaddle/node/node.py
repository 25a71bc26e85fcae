"""Assembles a node and runs its tasks."""

import math
import random
from typing import Self

import trio
from trio import TaskStatus

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.execution.claim_partitions import ClaimPartitions
from rhubarbpaddle.execution.claim_reporter import ClaimReporter
from rhubarbpaddle.execution.claiming_gateway import ClaimingGateway
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.deadline_limit import DeadlineLimit
from rhubarbpaddle.execution.gateway import Gateway
from rhubarbpaddle.execution.sidecar import Sidecar
from rhubarbpaddle.http import CallerHandler
from rhubarbpaddle.http.product_caller_dialect import ProductCallerDialect
from rhubarbpaddle.log import HttpLogClient, LogClient
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    StoreAccessTable,
    Suspicion,
)
from rhubarbpaddle.network import Network
from rhubarbpaddle.node.admin_handler import AdminHandler
from rhubarbpaddle.node.claim_owner import ClaimOwner
from rhubarbpaddle.node.claim_router import ClaimRouter
from rhubarbpaddle.node.claims_client_cache import ClaimsClientCache
from rhubarbpaddle.node.configuration_follower import ConfigurationFollower
from rhubarbpaddle.node.configuration_stream_loss_detector import (
    ConfigurationStreamLossDetector,
)
from rhubarbpaddle.node.node_dispatcher import NodeDispatcher
from rhubarbpaddle.node.node_runner import run_until_signal
from rhubarbpaddle.node.node_status import NodeStatus
from rhubarbpaddle.node.probe_task import ProbeTask
from rhubarbpaddle.node.seed_record import SeedRecord
from rhubarbpaddle.node.seed_stream import SeedStream
from rhubarbpaddle.node.settings import NodeSettings
from rhubarbpaddle.node.shutdown import Shutdown
from rhubarbpaddle.node.upstream_registry import UpstreamRegistry
from rhubarbpaddle.peer.claims_server import ClaimsServer
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.exchange_server import ExchangeServer
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.link_pacer import LinkPacer
from rhubarbpaddle.peer.listener import PeerListener
from rhubarbpaddle.peer.overlay import Overlay
from rhubarbpaddle.peer.pool import PeerPool
from rhubarbpaddle.peer.remote_dispatcher import RemoteDispatcher
from rhubarbpaddle.routing.adaptive_router import AdaptiveRouter
from rhubarbpaddle.stream_watch import StreamWatch
from rhubarbpaddle.system_clock import SystemClock
from rhubarbpaddle.tcp_network import TcpNetwork
from rhubarbpaddle.telemetry import Metrics, NodeReadings, get_logger

_log = get_logger("node")


class Node:
    """Serves callers, peers and the upstream on its host.

    Attributes:
        settings: The node's settings.
        table: The member table.
        crashes: The record of requests that crashed upstreams.
        sidecar: The proxy of the upstream.
        configuration: Follows the configuration in force.
        overlay: The control connections to peers.
        claims: The claim partitions that this node owns.
    """

    def __init__(
        self,
        settings: NodeSettings,
        network: Network,
        log: LogClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self._network = network
        own_member = _create_own_member(settings, clock)
        self.table = MemberTable(own_member)
        self.crashes = CrashLedger(settings.node_id, clock)
        self.sidecar = Sidecar(clock, self.crashes)
        self.configuration = ConfigurationFollower.from_config(
            settings,
            log,
            clock,
            rng,
            self._list_live_members,
            self._apply_configuration,
        )
        identity = PeerIdentity(
            settings.cluster,
            settings.node_id,
            own_member.incarnation,
            settings.secret.encode(),
        )
        connector = PeerConnector(network, identity)
        self._seed_stream = _create_seed_stream(settings, log, clock, rng)
        self.overlay = Overlay(
            connector,
            self.table,
            Suspicion(self.table, clock),
            self.configuration,
            clock,
            rng,
            self._seed_stream.get_addresses,
            frozenset,
            self.crashes,
            StoreAccessTable(self.table),
        )
        pool = PeerPool(network, connector, clock)
        # The settings specify no link rate, so bodies are not paced.
        pacer = LinkPacer(math.inf, clock)
        remote = RemoteDispatcher(
            pool, clock, self.configuration.get_version, pacer
        )
        self._router = AdaptiveRouter(self.table, rng, clock)
        gateway = self._gateway = Gateway(
            self._router,
            NodeDispatcher(settings.node_id, self.sidecar, remote),
            clock,
            self.configuration.get_accepted,
        )
        partitions = ClaimPartitions(self.table)
        loss_detector = ConfigurationStreamLossDetector(
            log, lambda: self.configuration.history.next_offset
        )
        self.claims = ClaimOwner(
            settings.node_id, partitions, log, loss_detector, clock, rng
        )
        client_cache = ClaimsClientCache(network, connector)
        store = ClaimRouter(
            settings.node_id, partitions, self.claims, client_cache.get
        )
        self._claim_reporter = ClaimReporter(store, clock, rng)
        claiming_gateway = ClaimingGateway(
            gateway,
            store,
            self._claim_reporter,
            clock,
            self.configuration.get_accepted,
        )
        metrics = self._metrics = Metrics()
        metrics.observe_node(self._read_metrics)
        metrics.observe_link_ends(self.overlay.link_ends.counts)
        self._stream_watch = StreamWatch(network, clock)
        self._upstream_registry = UpstreamRegistry(
            self.sidecar,
            self.table,
            network,
            clock,
            settings.announcement_lease,
        )
        self._probe_task = ProbeTask(
            self.sidecar, self._upstream_registry, clock, metrics
        )
        deadline_limit = DeadlineLimit()
        self._caller_handler = CallerHandler(
            claiming_gateway,
            clock,
            metrics,
            ProductCallerDialect(clock, self.configuration.get_accepted),
            network,
            self._stream_watch,
            deadline_limit,
        )
        exchanges = ExchangeServer(
            self.sidecar, clock, self._stream_watch, deadline_limit, pacer
        )
        claims = ClaimsServer(self.claims)
        self._peer_listener = PeerListener(
            identity,
            {
                "exchange": exchanges,
                "claims": claims,
                "control": self.overlay,
            },
            self.overlay.get_welcome_delay,
        )
        self._admin_handler = AdminHandler(
            self._upstream_registry,
            metrics,
            self.configuration.get_accepted,
            self.get_status,
            lambda: self.sidecar.leaving,
        )
        self._shutdown = Shutdown(
            self._announce_leaving,
            deadline_limit,
            self._caller_handler.drain,
            {
                "callers": self._caller_handler.work,
                "exchanges": exchanges.work,
                "claims": claims.work,
                "reports": self._claim_reporter.work,
            },
            clock,
            settings.shutdown_grace,
        )

    @classmethod
    def from_config(cls, settings: NodeSettings) -> Self:
        """Creates a node with TCP, the system clock and the platform's log."""
        network = TcpNetwork()
        log = HttpLogClient(network, settings.log_address)
        return cls(settings, network, log, SystemClock(), random.Random())

    async def run(
        self,
        *,
        task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs all tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            listeners = (
                (self.settings.peer_address, self._peer_listener.handle),
                (self.settings.admin_address, self._admin_handler.handle),
                (self.settings.caller_address, self._caller_handler.handle),
            )
            for address, handler in listeners:
                await nursery.start(self._network.serve, address, handler)
            nursery.start_soon(self.claims.run)
            nursery.start_soon(self._claim_reporter.run)
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self._seed_stream.run)
            nursery.start_soon(self.overlay.run)
            nursery.start_soon(self._stream_watch.run)
            nursery.start_soon(self._upstream_registry.run)
            nursery.start_soon(self._probe_task.run)
            nursery.start_soon(self._metrics.run)
            _log.info("node_started", node=self.settings.node_id)
            task_status.started()

    async def run_until_signal(self) -> bool:
        """Runs until the process receives SIGTERM or SIGINT.

        Returns:
            Whether all work was completed; False if a second signal or the time
            limit of the shutdown interrupted some of it.
        """
        return await run_until_signal(self.run, self.shut_down)

    async def shut_down(self) -> bool:
        """Shuts down gracefully; see `Shutdown.run`."""
        return await self._shutdown.run()

    def drain_callers(self) -> None:
        """Closes idle callers' connections, others after their response."""
        self._caller_handler.drain()

    def _announce_leaving(self) -> None:
        self.sidecar.leaving = True
        self._caller_handler.announce_close()
        self.table.update_own(status=MemberStatus.LEAVING)

    def get_status(self) -> NodeStatus:
        """Returns the node's state as shown to operators."""
        state = self.configuration.get_state()
        status = NodeStatus(
            node_id=self.settings.node_id,
            availability_zone=self.settings.availability_zone,
            in_service=self.sidecar.in_service,
            version=state.version,
            digest=state.digest,
            configuration_age_seconds=state.age_seconds,
            unverified=state.unverified,
            gap=state.gap,
            lag=state.unapplied_records,
            members={
                member.node_id: member.admin_address for member in self.table
            },
        )
        upstream = self.sidecar.upstream
        if upstream is None:
            return status
        report = upstream.admission.get_report()
        return status._replace(
            service=upstream.summary.service,
            instance=upstream.summary.instance,
            upstream_state=upstream.summary.state.value,
            in_flight=report.in_flight,
            queued=report.queued,
            limit=report.limit,
        )

    def _read_metrics(self) -> NodeReadings:
        status = self.get_status()
        return NodeReadings(
            configuration_version=status.version,
            configuration_age=status.configuration_age_seconds,
            log_lag=status.lag,
            members=len(status.members),
            service=status.service,
            in_flight=status.in_flight,
            queued=status.queued,
            limit=status.limit,
            retries=self._gateway.retried,
        )

    def _list_live_members(self) -> list[str]:
        return [
            member.node_id
            for member in self.table
            if member.status is MemberStatus.ALIVE
        ]

    def _apply_configuration(self, accepted: AcceptedConfiguration) -> None:
        zone = self.settings.availability_zone
        in_service = accepted.configuration.is_in_service(zone)
        self.sidecar.in_service = in_service
        self.overlay.flush()
        self._router.observe_configuration(accepted.configuration)
        self._upstream_registry.apply_configuration(accepted)


def _create_own_member(settings: NodeSettings, clock: Clock) -> Member:
    return Member(
        node_id=settings.node_id,
        incarnation=int(clock.now().timestamp() * 1_000_000),
        version=1,
        status=MemberStatus.ALIVE,
        host=settings.host,
        availability_zone=settings.availability_zone,
        peer_address=settings.peer_address,
        admin_address=settings.admin_address,
        upstream=None,
    )


def _create_seed_stream(
    settings: NodeSettings, log: LogClient, clock: Clock, rng: random.Random
) -> SeedStream:
    own_record = SeedRecord(
        node_id=settings.node_id, peer_address=settings.peer_address
    )
    return SeedStream(own_record, settings.seeds, log, clock, rng)
