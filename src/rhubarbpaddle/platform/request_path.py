"""Assembles the path of callers' requests to instances."""

import random
from collections.abc import Callable

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.execution.deadline_limit import DeadlineLimit
from rhubarbpaddle.execution.instance_chooser import InstanceChooser
from rhubarbpaddle.execution.request_handler import RequestHandler
from rhubarbpaddle.execution.route_gateway import RouteGateway
from rhubarbpaddle.execution.shared_retry_budget import SharedRetryBudget
from rhubarbpaddle.execution.version_policy import VersionPolicy
from rhubarbpaddle.execution.zone_choice_record import ZoneChoiceRecord
from rhubarbpaddle.http import CallerHandler
from rhubarbpaddle.http.limits import CallerLimits
from rhubarbpaddle.membership import MemberTable
from rhubarbpaddle.network import Network
from rhubarbpaddle.node.node_dispatcher import NodeDispatcher
from rhubarbpaddle.platform.caller_dialect import PlatformCallerDialect
from rhubarbpaddle.platform.configuration_view import ConfigurationView
from rhubarbpaddle.platform.settings_file import SettingsFile
from rhubarbpaddle.platform.usage_caps import UsageCaps
from rhubarbpaddle.routing.instance_router import InstanceRouter
from rhubarbpaddle.routing.traffic_split import TrafficSplit
from rhubarbpaddle.routing.zone_spillover import ZoneSpillover
from rhubarbpaddle.stream_watch import StreamWatch
from rhubarbpaddle.telemetry import Metrics, get_logger

# Callers reuse connections for up to four fifths of the configured idle
# timeout, which may change while a connection is idle.
_IDLE_TIMEOUT_SECONDS = 120.0
# Callers are on the same host and have deadlines of a few seconds. Hosts and
# processes may freeze for 3 s.
_SEND_TIMEOUT_SECONDS = 5.0


class RequestPath:
    """Holds the parts that route and answer the requests of callers.

    Attributes:
        handler: Serves the connections.
        zone_choices: Counts why requests left their zone.
        key_refusals: Counts the requests that were refused for their key.
    """

    def __init__(
        self,
        settings_file: SettingsFile,
        get_configuration: Callable[[], RoutingConfiguration | None],
        view: ConfigurationView,
        table: MemberTable,
        versions: VersionPolicy,
        usage_caps: UsageCaps | None,
        dispatcher: NodeDispatcher,
        metrics: Metrics,
        network: Network,
        stream_watch: StreamWatch,
        deadline_limit: DeadlineLimit,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Creates the parts.

        Args:
            settings_file: The settings, which may change.
            get_configuration: Returns the configuration in force.
            view: What it means for this node.
            table: The members.
            versions: Restricts the instances that requests may go to.
            usage_caps: Keeps organisations to their usage caps, or None.
            dispatcher: Sends requests to a chosen instance.
            metrics: Gets the results of requests.
            network: Closes and identifies connections.
            stream_watch: Detects callers that leave.
            deadline_limit: Brings deadlines forward during a shutdown.
            clock: The source of time.
            rng: Breaks ties and splits traffic by weight.
        """
        self._get_configuration = get_configuration
        self._usage_caps = usage_caps
        self._router = InstanceRouter(
            table, clock, rng, view.is_in_service, versions.get_excluded
        )
        self.zone_choices = ZoneChoiceRecord(clock, get_logger("gateway"))
        gateway: RequestHandler = RouteGateway(
            self._router,
            InstanceChooser(
                self._router,
                ZoneSpillover(self._router, clock, rng),
                self.zone_choices,
                clock,
                versions,
            ),
            dispatcher,
            SharedRetryBudget(
                settings_file.settings.retry_terms, clock, lambda: len(table)
            ),
            clock,
            get_logger("gateway"),
        )
        if usage_caps is not None:
            gateway = usage_caps.wrap(gateway)
        dialect = PlatformCallerDialect(
            lambda: settings_file.settings.service,
            clock,
            TrafficSplit(rng),
            get_configuration,
            view.may_accept_keys,
        )
        self.key_refusals = dialect.key_check.refusals
        self.handler = CallerHandler(
            gateway,
            clock,
            metrics,
            dialect,
            network,
            stream_watch,
            deadline_limit,
            CallerLimits(
                idle_seconds=_IDLE_TIMEOUT_SECONDS,
                send_seconds=_SEND_TIMEOUT_SECONDS,
                keeps_half_closed=False,
            ),
        )

    def can_route(self) -> bool:
        """Returns whether instances and the owners of usage caps are known."""
        return self._has_all_services() and (
            self._usage_caps is None or self._usage_caps.has_contact()
        )

    def _has_all_services(self) -> bool:
        """Returns whether each service has an instance that takes requests."""
        cfg = self._get_configuration()
        return cfg is not None and all(
            self._router.has_instance(service) for service in cfg.services
        )
