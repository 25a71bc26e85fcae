"""Assembles and runs a node on the users' platform."""

import os
import random
import time
from datetime import timedelta
from pathlib import Path
from typing import Self

import h11
import trio
from trio import TaskStatus

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.organisation_table import (
    NO_ORGANISATIONS,
    OrganisationTable,
)
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.configuration.service_limits import ServiceLimits
from rhubarbpaddle.exceptions import SettingsError
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.deadline_limit import DeadlineLimit
from rhubarbpaddle.execution.instance_chooser import InstanceChooser
from rhubarbpaddle.execution.instance_proxy import InstanceProxy
from rhubarbpaddle.execution.request_handler import RequestHandler
from rhubarbpaddle.execution.route_gateway import RouteGateway
from rhubarbpaddle.execution.shared_retry_budget import SharedRetryBudget
from rhubarbpaddle.execution.zone_choice_record import ZoneChoiceRecord
from rhubarbpaddle.http import CallerHandler
from rhubarbpaddle.http.limits import CallerLimits
from rhubarbpaddle.http.request_responder import RequestResponder, ShortResponse
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
from rhubarbpaddle.platform.caller_dialect import PlatformCallerDialect
from rhubarbpaddle.platform.node_directory import NodeDirectory
from rhubarbpaddle.platform.poll_schedule import PollSchedule
from rhubarbpaddle.platform.reader_duty import ReaderDuty
from rhubarbpaddle.platform.report_handler import ReportHandler
from rhubarbpaddle.platform.rollouts import Rollouts
from rhubarbpaddle.platform.settings import SETTINGS_VARIABLE, PlatformSettings
from rhubarbpaddle.platform.store_client import StoreClient
from rhubarbpaddle.platform.store_configuration_follower import (
    StoreConfigurationFollower,
)
from rhubarbpaddle.platform.upstream_dialect import PlatformUpstreamDialect
from rhubarbpaddle.platform.usage_caps import UsageCaps
from rhubarbpaddle.routing.instance_router import InstanceRouter
from rhubarbpaddle.routing.traffic_split import TrafficSplit
from rhubarbpaddle.routing.zone_spillover import ZoneSpillover
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
_SETTINGS_CHECK_INTERVAL = timedelta(seconds=1)
# Callers reuse connections for up to four fifths of the configured idle
# timeout, which may change while a connection is idle.
_IDLE_TIMEOUT_SECONDS = 120.0
# Callers are on the same host and have deadlines of a few seconds. Hosts and
# processes may freeze for 3 s.
_SEND_TIMEOUT_SECONDS = 5.0

_log = get_logger("node")


class PlatformNode:
    """Serves callers, other nodes and the instance on one host.

    Attributes:
        settings: The settings of this process, as last read from the file.
        table: The members of the cluster.
        instance_proxy: The proxy of the instance on this host.
        configuration: Holds the configuration in force.
        overlay: The control connections to other nodes.
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
        self._path = path
        self.settings = settings
        self._network = network
        self._clock = clock
        self._age = age
        self._stopping = False
        # `_watch_settings` compares with this time, so that it also applies a
        # change made while the node starts.
        self._modified_at = self._read_modification_time()
        incarnation = int(clock.now().timestamp() * 1_000_000)
        self.table = MemberTable(_make_own_member(settings, incarnation))
        crash_ledger = CrashLedger(settings.node_id, clock)
        self.instance_proxy = InstanceProxy(
            clock, crash_ledger, self._handle_instance_lost, get_logger("door")
        )
        store = StoreClient(network, settings.store_address)
        store_access = StoreAccessTable(self.table)
        self._currency = ConfigurationCurrency(
            clock, lambda: self.settings.revocation_deadline is not None
        )
        # Reloaded settings do not replace it: until all nodes have the bound in
        # their settings, some neighbours don't confirm the configuration.
        self._revocation_deadline = settings.revocation_deadline
        self.configuration = StoreConfigurationFollower(
            store,
            clock,
            rng,
            self._apply_configuration,
            ReaderDuty(
                StoreReaderElection(
                    self.table,
                    store_access,
                    lambda: self.overlay.has_active_link(),
                ),
                store_access,
                clock,
            ),
            PollSchedule.from_config(settings),
            self._currency,
        )
        self._rollouts = Rollouts(
            settings.rollout_terms,
            self.table,
            store,
            lambda: self.overlay.has_active_link(),
            self._is_in_service,
            self.configuration.get_configuration,
            clock,
            rng,
        )
        self.instance_proxy.observer = self._rollouts.observer
        self.instance_proxy.get_organisations = self._get_organisations
        self._directory = NodeDirectory(
            settings.node_id,
            settings.peer_address,
            store,
            clock,
            rng,
            network.is_valid_address,
            self._get_link_count,
            self.configuration.store_responded.wait,
            lambda: self.overlay.handle_seeds_changed(),
            lambda boot: self.registry.handle_earlier_departure(boot),
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
            crash_ledger,
            store_access,
            self._rollouts.board,
            self._currency,
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
            self._get_limits,
            self._wait_for_departures,
        )
        pool = PeerPool(network, connector, clock)
        pacer = LinkPacer(settings.link_rate, clock)
        remote_dispatcher = RemoteDispatcher(
            pool, clock, self.configuration.get_version, pacer
        )
        self._router = InstanceRouter(
            self.table,
            clock,
            rng,
            self._is_in_service,
            self._rollouts.policy.get_excluded,
        )
        self._start_gate = StartGate(clock, self._can_serve_callers)
        zone_choices = ZoneChoiceRecord(clock, get_logger("gateway"))
        gateway: RequestHandler = RouteGateway(
            self._router,
            InstanceChooser(
                self._router,
                ZoneSpillover(self._router, clock, rng),
                zone_choices,
                clock,
                self._rollouts.policy,
            ),
            NodeDispatcher(
                settings.node_id, self.instance_proxy, remote_dispatcher
            ),
            SharedRetryBudget(
                settings.retry_terms, clock, lambda: len(self.table)
            ),
            clock,
            get_logger("gateway"),
        )
        self.usage_caps: UsageCaps | None = None
        if settings.quota_terms is not None:
            self.usage_caps = UsageCaps.from_config(
                settings.quota_terms,
                self.configuration.get_configuration,
                self.table,
                self.overlay.has_active_link,
                self._directory.count_listed,
                network,
                connector,
                clock,
            )
            gateway = self.usage_caps.wrap(gateway)
        self.load = EventLoopLoad(clock)
        self.metrics = Metrics()
        self.metrics.observe_event_loop(self.load)
        if settings.rollout_terms is not None:
            self.metrics.observe_rollouts(self._rollouts.board.list_readings)
        self.metrics.observe_zone_choices(zone_choices.get_totals)
        if self.usage_caps is not None:
            self.metrics.observe_usage(self.usage_caps.gate.results)
        dialect = PlatformCallerDialect(
            lambda: self.settings.service,
            clock,
            TrafficSplit(rng),
            self.configuration.get_configuration,
            self._may_accept_keys,
        )
        self.metrics.observe_key_refusals(dialect.key_check.refusals)
        self.metrics.observe_shares(
            instance_factory.share_results, self._count_above_share
        )
        self._stream_watch = StreamWatch(network, clock)
        deadline_limit = DeadlineLimit()
        self._caller_handler = CallerHandler(
            gateway,
            clock,
            self.metrics,
            dialect,
            network,
            self._stream_watch,
            deadline_limit,
            CallerLimits(
                idle_seconds=_IDLE_TIMEOUT_SECONDS,
                send_seconds=_SEND_TIMEOUT_SECONDS,
                keeps_half_closed=False,
            ),
        )
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
        self._peer_listener = PeerListener(identity, peer_handlers)
        self._shutdown = Shutdown(
            self._fail_readiness,
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

    async def run(
        self, *, task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs all tasks until cancelled."""
        settings = self.settings
        self.registry.process_started_at = (
            self._clock.monotonic() - self._age.total_seconds()
        )
        host, _ = split_address(settings.readiness_address)
        report_handler = ReportHandler(
            self.registry, self._directory.record_departure
        )
        reports = RequestResponder(report_handler.respond)
        readiness = RequestResponder(self._handle_readiness)
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
            nursery.start_soon(self.overlay.run)
            nursery.start_soon(self._stream_watch.run)
            nursery.start_soon(self.registry.run)
            nursery.start_soon(self.registry.discover, settings.service)
            nursery.start_soon(self._watch_settings)
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

    def _can_serve_callers(self) -> bool:
        """Returns whether instances and the owners of usage caps are known."""
        return self._has_all_services() and (
            self.usage_caps is None or self.usage_caps.has_contact()
        )

    def _has_all_services(self) -> bool:
        """Returns whether each service has an instance that takes requests."""
        cfg = self.configuration.get_configuration()
        return cfg is not None and all(
            self._router.has_instance(service) for service in cfg.services
        )

    async def run_until_signal(self) -> bool:
        """Runs until SIGTERM or SIGINT; see `node_runner.run_until_signal`.

        Returns:
            Whether all work ended before the shutdown's time limit.
        """
        return await run_until_signal(
            self.run, self.shut_down, self.reload_settings
        )

    async def shut_down(self) -> bool:
        """Shuts the node down gracefully; see `Shutdown.run`."""
        return await self._shutdown.run()

    def reload_settings(self) -> None:
        """Rereads the settings file; keeps the old settings if it is invalid.

        Objects that received a setting when the node was created keep the old
        value.
        """
        try:
            settings = PlatformSettings.from_file(self._path)
        except SettingsError as exc:
            _log.warn("settings_invalid", error=exc)
            return
        changed = [
            name
            for name, old, new in zip(
                settings._fields, self.settings, settings, strict=True
            )
            if old != new
        ]
        self.settings = settings
        _log.info("settings_reloaded", changed=",".join(changed))

    async def _watch_settings(self) -> None:
        """Reloads the settings if the file changes without a SIGHUP."""
        while True:
            await self._clock.sleep(_SETTINGS_CHECK_INTERVAL)
            modified_at = self._read_modification_time()
            if modified_at != self._modified_at:
                self._modified_at = modified_at
                self.reload_settings()

    def _read_modification_time(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as exc:
            _log.warn("settings_unreadable", reason=exc)
            return 0

    async def _handle_readiness(
        self, head: h11.Request, content: bytes
    ) -> ShortResponse:
        if head.target == b"/metrics":
            return (
                200,
                b"text/plain; version=0.0.4",
                await self.metrics.render(),
            )
        if self._stopping:
            return 503, b"text/plain", b"shutting down\n"
        if self.configuration.get_configuration() is None:
            return 503, b"text/plain", b"no configuration\n"
        return 200, b"text/plain", b"ready\n"

    def _fail_readiness(self) -> None:
        """Makes the readiness check fail.

        The instance still runs, so other nodes may send requests to it until
        the node starts to drain.
        """
        self._stopping = True

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
        self.overlay.announce_configuration()

    def _is_in_service(self, availability_zone: str) -> bool:
        cfg = self.configuration.get_configuration()
        return cfg is None or cfg.is_in_service(availability_zone)

    def _get_organisations(self) -> OrganisationTable:
        cfg = self.configuration.get_configuration()
        return NO_ORGANISATIONS if cfg is None else cfg.organisations

    def _may_accept_keys(self) -> bool:
        """Returns whether the keys of the configuration may still be valid."""
        deadline = self._revocation_deadline
        return (
            deadline is None
            or self._currency.get_age() <= deadline.total_seconds()
        )

    def _get_limits(self, service: str) -> ServiceLimits | None:
        cfg = self.configuration.get_configuration()
        limits = cfg.services.get(service) if cfg else None
        if limits is None:
            return None
        # Operators tolerate this rate within a second. A part of what they
        # tolerate beyond it (`coldSlack`) stays unused, for requests whose
        # times of sending and of arrival differ.
        rate = limits.cold_rate * self.settings.cold_multiplier
        return limits._replace(cold_rate=rate)

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
