"""Assembles and runs a node on the users' platform."""

import os
import random
import time
from datetime import timedelta
from pathlib import Path
from typing import Self

import trio
from trio import TaskStatus

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.exceptions import SettingsError
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.deadline_limit import DeadlineLimit
from rhubarbpaddle.execution.instance_proxy import InstanceProxy
from rhubarbpaddle.http.request_responder import RequestResponder
from rhubarbpaddle.measuring import EventLoopLoad
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    StoreAccessTable,
    StoreReaderElection,
    Suspicion,
)
from rhubarbpaddle.membership.configuration_currency import (
    ConfigurationCurrency,
)
from rhubarbpaddle.membership.reader_contact import ReaderContact
from rhubarbpaddle.network import Network, split_address
from rhubarbpaddle.node.event_loop_reporter import EventLoopReporter
from rhubarbpaddle.node.instance_factory import InstanceFactory
from rhubarbpaddle.node.instance_registry import InstanceRegistry
from rhubarbpaddle.node.node_dispatcher import NodeDispatcher
from rhubarbpaddle.node.node_runner import run_until_signal
from rhubarbpaddle.node.shutdown import Shutdown
from rhubarbpaddle.node.start_gate import StartGate
from rhubarbpaddle.peer.connection_handler import ConnectionHandler
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.exchange_server import ExchangeServer
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.link_pacer import LinkPacer
from rhubarbpaddle.peer.listener import PeerListener
from rhubarbpaddle.peer.overlay import Overlay
from rhubarbpaddle.peer.pool import PeerPool
from rhubarbpaddle.peer.remote_dispatcher import RemoteDispatcher
from rhubarbpaddle.platform.configuration_view import ConfigurationView
from rhubarbpaddle.platform.directory_repair import DirectoryRepair
from rhubarbpaddle.platform.node_directory import NodeDirectory
from rhubarbpaddle.platform.poll_schedule import PollSchedule
from rhubarbpaddle.platform.reader_duty import ReaderDuty
from rhubarbpaddle.platform.readiness_handler import ReadinessHandler
from rhubarbpaddle.platform.report_handler import ReportHandler
from rhubarbpaddle.platform.request_path import RequestPath
from rhubarbpaddle.platform.rollouts import Rollouts
from rhubarbpaddle.platform.settings import SETTINGS_VARIABLE, PlatformSettings
from rhubarbpaddle.platform.settings_file import SettingsFile
from rhubarbpaddle.platform.store_client import StoreClient
from rhubarbpaddle.platform.store_configuration_follower import (
    StoreConfigurationFollower,
)
from rhubarbpaddle.platform.store_retry import StoreRetry
from rhubarbpaddle.platform.stored_crashes import StoredCrashes
from rhubarbpaddle.platform.upstream_dialect import PlatformUpstreamDialect
from rhubarbpaddle.platform.usage_caps import UsageCaps
from rhubarbpaddle.stream_watch import StreamWatch
from rhubarbpaddle.system_clock import SystemClock
from rhubarbpaddle.tcp_network import TcpNetwork
from rhubarbpaddle.telemetry import Metrics, get_logger

_CLUSTER = "platform"
# The platform provides no secret for nodes; its network admits only its own
# machines.
_SECRET = b"-"
# Must equal `metrics` in deploy/system.toml. The platform's settings specify no
# port for metrics; 9464 is the default of OpenTelemetry's Prometheus exporter.
_METRICS_PORT = 9464
# The platform checks readiness once a second and removes a node after two
# failures.
_READINESS_DETECTION_TIME = timedelta(seconds=3)
# A change reaches all nodes over a few control links, each of which sends every
# 50 ms. Until then no other node is the owner of a leaving node's usage caps.
_HANDOVER_TIME = timedelta(milliseconds=250)
# Time to exit between the end of the shutdown and SIGKILL.
_GRACE_MARGIN = timedelta(milliseconds=500)

_log = get_logger("node")


class PlatformNode:
    """Serves callers, other nodes and the instance on one host.

    Attributes:
        table: The members of the cluster.
        instance_proxy: The proxy of the instance on this host.
        configuration: Holds the configuration in force.
        overlay: The control connections to other nodes.
        reader_contact: Whether news of the store's readers reach this node.
        registry: Tracks the instance on this host by its reports.
        usage_caps: Keeps organisations to their usage caps; None if the
            settings have no bounds for it.
        load: How busy the event loop is.
        metrics: The metrics of this node.
    """

    def __init__(
        self,
        path: Path,
        settings: PlatformSettings,
        network: Network,
        clock: Clock,
        rng: random.Random,
        age: timedelta = timedelta(),
    ) -> None:
        """Creates a node that does not run yet.

        Args:
            path: The settings file.
            settings: Its content.
            network: Opens and accepts connections.
            clock: The source of time.
            rng: Breaks ties and gives jitter.
            age: For how long at least the process has run.
        """
        self._settings_file = SettingsFile(path, settings, clock)
        self._network = network
        self._clock = clock
        self._age = age
        incarnation = int(clock.now().timestamp() * 1_000_000)
        self.table = MemberTable(_make_own_member(settings, incarnation))
        crash_ledger = CrashLedger(settings.node_id, clock)
        self.instance_proxy = InstanceProxy(
            clock, crash_ledger, self._handle_instance_lost, get_logger("door")
        )
        store = StoreClient(network, settings.store_address)
        store_retry = StoreRetry(clock, rng)
        self._stored_crashes = StoredCrashes(
            settings.node_id, crash_ledger, store, store_retry, clock
        )
        store_access = StoreAccessTable(self.table)
        currency = ConfigurationCurrency(
            clock, lambda: self.settings.revocation_deadline is not None
        )
        self.reader_contact = ReaderContact(
            clock, settings.node_id, settings.configuration_deadline / 2
        )
        duty = ReaderDuty(
            StoreReaderElection(
                self.table,
                store_access,
                lambda: self.overlay.has_active_link(),
            ),
            store_access,
            self.reader_contact,
            clock,
        )
        self.configuration = StoreConfigurationFollower(
            store,
            clock,
            rng,
            self._apply_configuration,
            self._handle_new_era,
            duty,
            PollSchedule.from_config(settings),
            currency,
            settings.recovery_time,
        )
        self._directory_repair = DirectoryRepair(
            self.table, duty.get_position, store, clock, store_retry
        )
        get_configuration = self.configuration.get_configuration
        view = ConfigurationView(
            get_configuration, currency, self._settings_file
        )
        self._rollouts = Rollouts(
            settings.rollout_terms,
            self.table,
            store,
            lambda: self.overlay.has_active_link(),
            view.is_in_service,
            get_configuration,
            clock,
            rng,
        )
        self.instance_proxy.observer = self._rollouts.observer
        self.instance_proxy.get_organisations = view.get_organisations
        self._directory = NodeDirectory(
            settings.node_id,
            settings.peer_address,
            settings.availability_zone,
            store,
            clock,
            store_retry,
            network.is_valid_address,
            self._get_link_count,
            self.configuration.store_responded.wait,
            lambda: self.overlay.handle_seeds_changed(),
            lambda boot: self.registry.handle_earlier_departure(boot),
            self._stored_crashes.read,
            settings.is_first_start,
        )
        identity = PeerIdentity(
            _CLUSTER, settings.node_id, incarnation, _SECRET
        )
        connector = PeerConnector(network, identity)
        self.overlay = Overlay(
            connector,
            self.table,
            Suspicion(self.table, clock),
            self.configuration,
            clock,
            rng,
            self._directory.get_addresses,
            self._directory.get_near_addresses,
            crash_ledger,
            store_access,
            self._rollouts.board,
            currency,
            self.reader_contact,
        )
        instance_factory = InstanceFactory(
            settings.instance_address,
            network,
            clock,
            PlatformUpstreamDialect(self._get_instance),
        )
        self.registry = InstanceRegistry(
            instance_factory,
            self.instance_proxy,
            self.table,
            clock,
            lambda: self.settings.service,
            view.get_limits,
            self._wait_for_departures,
        )
        pool = PeerPool(network, connector, clock)
        pacer = LinkPacer(settings.link_rate, clock)
        remote_dispatcher = RemoteDispatcher(
            pool, clock, self.configuration.get_version, pacer
        )
        self.usage_caps: UsageCaps | None = None
        if settings.quota_terms is not None:
            self.usage_caps = UsageCaps.from_config(
                settings.quota_terms,
                get_configuration,
                self.table,
                self.overlay.has_active_link,
                self._directory.count_listed,
                network,
                connector,
                clock,
            )
        self.load = EventLoopLoad(clock)
        self.metrics = Metrics()
        self.metrics.observe_event_loop(self.load)
        self.metrics.observe_link_ends(self.overlay.link_ends.counts)
        self.metrics.observe_store_era(self.configuration.get_era)
        if settings.rollout_terms is not None:
            self.metrics.observe_rollouts(self._rollouts.board.list_readings)
        self._stream_watch = StreamWatch(network, clock)
        deadline_limit = DeadlineLimit()
        request_path = RequestPath(
            self._settings_file,
            get_configuration,
            view,
            self.table,
            self._rollouts.policy,
            self.usage_caps,
            NodeDispatcher(
                settings.node_id, self.instance_proxy, remote_dispatcher
            ),
            self.metrics,
            network,
            self._stream_watch,
            deadline_limit,
            clock,
            rng,
        )
        self._caller_handler = request_path.handler
        self._start_gate = StartGate(clock, request_path.can_route)
        self.metrics.observe_zone_choices(request_path.zone_choices.get_totals)
        if self.usage_caps is not None:
            self.metrics.observe_usage(self.usage_caps.gate.get_results)
        self.metrics.observe_key_refusals(request_path.key_refusals)
        self.metrics.observe_shares(
            instance_factory.share_results, self._count_above_share
        )
        self._readiness = ReadinessHandler(get_configuration, self.metrics)
        exchange_server = ExchangeServer(
            self.instance_proxy,
            clock,
            self._stream_watch,
            deadline_limit,
            pacer,
        )
        peer_handlers: dict[str, ConnectionHandler] = {
            "exchange": exchange_server,
            "control": self.overlay,
        }
        if self.usage_caps is not None:
            peer_handlers["usage"] = self.usage_caps.server
        self._peer_listener = PeerListener(
            identity, peer_handlers, self.overlay.get_welcome_delay
        )
        self._shutdown = Shutdown(
            self._readiness.fail,
            deadline_limit,
            self._drain,
            {
                "callers": self._caller_handler.work,
                "exchanges": exchange_server.work,
            },
            clock,
            settings.shutdown_grace - _GRACE_MARGIN,
            _READINESS_DETECTION_TIME,
            _HANDOVER_TIME if self.usage_caps else timedelta(),
        )

    @classmethod
    def from_environment(cls) -> Self:
        """Creates a node from the file that `RHUBARBPADDLE_SETTINGS` names.

        Raises:
            SettingsError: The variable is not set or the file is invalid.
        """
        name = os.environ.get(SETTINGS_VARIABLE)
        if not name:
            raise SettingsError(
                f"{SETTINGS_VARIABLE} is not set", step="load_settings"
            )
        path = Path(name)
        settings = PlatformSettings.from_file(path)
        # A process doesn't run for less time than its processor time.
        age = timedelta(seconds=time.process_time())
        network, clock, rng = TcpNetwork(), SystemClock(), random.Random()
        return cls(path, settings, network, clock, rng, age)

    @property
    def settings(self) -> PlatformSettings:
        """The settings of this process, as last read from the file."""
        return self._settings_file.settings

    async def run(
        self, *, task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs all tasks until cancelled."""
        settings = self.settings
        self.registry.discovery.process_started_at = (
            self._clock.monotonic() - self._age.total_seconds()
        )
        host, _ = split_address(settings.readiness_address)
        report_handler = ReportHandler(
            self.registry, self._directory.record_departure
        )
        reports = RequestResponder(report_handler.respond)
        readiness = RequestResponder(self._readiness.respond)
        listeners = (
            (settings.peer_address, self._peer_listener.handle),
            (settings.report_address, reports.handle),
            (settings.caller_address, self._handle_caller),
            (settings.readiness_address, readiness.handle),
            (f"{host}:{_METRICS_PORT}", readiness.handle),
        )
        self.load.install()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(EventLoopReporter(self.load, self._clock).run)
            for address, handler in listeners:
                await nursery.start(self._network.serve, address, handler)
            nursery.start_soon(self._start_gate.run)
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self._directory.run)
            nursery.start_soon(self._directory.run_departures)
            nursery.start_soon(self._directory_repair.run)
            nursery.start_soon(self._stored_crashes.run)
            nursery.start_soon(self.overlay.run)
            nursery.start_soon(self._stream_watch.run)
            nursery.start_soon(self.registry.recovery.run)
            nursery.start_soon(self.registry.discovery.run, settings.service)
            nursery.start_soon(self._settings_file.run)
            nursery.start_soon(self.metrics.run)
            nursery.start_soon(self._rollouts.run)
            if self.usage_caps is not None:
                nursery.start_soon(self.usage_caps.run)
            _log.info("node_started", node=settings.node_id)
            task_status.started()

    async def _handle_caller(self, stream: trio.abc.Stream) -> None:
        await self._start_gate.wait()
        await self._caller_handler.handle(stream)

    async def _wait_for_departures(self) -> None:
        """Waits a short time for the departures of before this process."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.overlay.wait_for_first_entries)
            nursery.start_soon(self._directory.wait_for_entries)

    async def run_until_signal(self) -> bool:
        """Runs until SIGTERM or SIGINT; see `node_runner.run_until_signal`.

        Returns:
            Whether all work ended before the shutdown's time limit.
        """
        return await run_until_signal(
            self.run, self.shut_down, self._settings_file.reload
        )

    async def shut_down(self) -> bool:
        """Shuts the node down gracefully; see `Shutdown.run`."""
        return await self._shutdown.run()

    def _drain(self) -> None:
        """Accepts no new requests; those that run are completed."""
        self.instance_proxy.leaving = True
        self.table.update_own(status=MemberStatus.LEAVING)
        self._caller_handler.drain()

    def _apply_configuration(self, cfg: RoutingConfiguration) -> None:
        zone = self.settings.availability_zone
        self.instance_proxy.in_service = cfg.is_in_service(zone)
        self.registry.apply_limits()
        self._rollouts.apply(self.configuration.get_orders())
        self.overlay.flush()

    def _handle_new_era(self) -> None:
        """Writes again what the store may have lost."""
        self._directory.handle_new_era()
        self._directory_repair.handle_new_era()
        self._stored_crashes.handle_new_era()

    def _get_instance(self) -> str | None:
        attached = self.instance_proxy.attached
        return attached.summary.instance if attached else None

    def _count_above_share(self) -> int | None:
        attached = self.instance_proxy.attached
        return attached.admission.count_above_share() if attached else None

    def _get_link_count(self) -> int:
        return self.overlay.link_count

    def _handle_instance_lost(self) -> None:
        self.registry.handle_connection_loss()


def _make_own_member(settings: PlatformSettings, incarnation: int) -> Member:
    return Member(
        node_id=settings.node_id,
        incarnation=incarnation,
        version=1,
        status=MemberStatus.ALIVE,
        host=settings.node_id,
        availability_zone=settings.availability_zone,
        peer_address=settings.peer_address,
        admin_address=settings.readiness_address,
        upstream=None,
    )
