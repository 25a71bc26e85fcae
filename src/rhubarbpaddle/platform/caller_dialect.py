"""The platform's HTTP conventions between callers and a node."""

import re
from collections.abc import Callable

import h11

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.configuration.route import Route
from rhubarbpaddle.configuration.route_kind import RouteKind
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Headers, Request
from rhubarbpaddle.http.headers import get_header, remove_hop_by_hop
from rhubarbpaddle.http.strict_head import make_bad_request
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.platform import header_names
from rhubarbpaddle.platform.key_check import KeyCheck
from rhubarbpaddle.routing.traffic_split import TrafficSplit

# The instance proxy sets its own values.
_SET_HEADERS = frozenset(
    {
        header_names.CALLING_SERVICE,
        header_names.DEADLINE,
        header_names.EXPECTED_INSTANCE,
        header_names.ORGANISATION,
    }
)
# Not forwarded. CGI and WSGI servers take `_` in a name for `-`.
_REPLACED_HEADERS = (
    _SET_HEADERS
    | {name.replace(b"-", b"_") for name in _SET_HEADERS}
    | {b"content-length", b"expect"}
)
# Instances must not see the keys of organisations.
_REPLACED_WITH_KEYS = _REPLACED_HEADERS | {header_names.AUTHORIZATION}
_NUMBER = re.compile(r"[0-9]{1,9}")
# Callers take these to mean that the request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class PlatformCallerDialect:
    """Finds the route of a request; reports a refusal by its status alone.

    Attributes:
        key_check: Checks the keys of organisations.
    """

    def __init__(
        self,
        get_service: Callable[[], str],
        clock: Clock,
        split: TrafficSplit,
        get_configuration: Callable[[], RoutingConfiguration | None],
        may_accept_keys: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the dialect of one host.

        Args:
            get_service: Returns the service of the instance on this host.
            clock: The source of time.
            split: Chooses one of a route's services by weight.
            get_configuration: Returns the configuration in force.
            may_accept_keys: Returns whether its keys may be accepted although
                later versions may have taken them away.
        """
        self._get_service = get_service
        self._clock = clock
        self._split = split
        self._get_configuration = get_configuration
        self.key_check = KeyCheck(get_configuration, may_accept_keys)

    def get_request_id(self, head: h11.Request) -> str:
        """Returns the request id that the caller sent, or `-`."""
        return get_header(list(head.headers), header_names.REQUEST_ID) or "-"

    def make_request(
        self, head: h11.Request, address: str, request_id: str
    ) -> Request:
        """Returns the request that a head represents.

        Raises:
            RefusedError: No configuration or no route applies, or the deadline
                is not a number.
        """
        cfg = self._get_configuration()
        if cfg is None:
            raise RefusedError(
                "not_ready", "no configuration is in force", step="route"
            )
        received = remove_hop_by_hop(head.headers)
        target = head.target.decode("ascii")
        host = get_header(received, b"host") or ""
        route = cfg.routes.find(host, target)
        if route is None:
            raise RefusedError(
                "no_route",
                f"no route for {host}{target}",
                step="route",
                status=404,
            )
        organisation, permission = self.key_check.authorize(cfg, route, head)
        replaced = (
            _REPLACED_WITH_KEYS if cfg.organisations else _REPLACED_HEADERS
        )
        now = self._clock.monotonic()
        timeout = route.timeout.total_seconds()
        deadline_ms = get_header(received, header_names.DEADLINE)
        if deadline_ms is not None:
            if not _NUMBER.fullmatch(deadline_ms):
                raise make_bad_request("the deadline is not a whole number")
            timeout = min(timeout, int(deadline_ms) / 1000)
        useful_seconds = min(timeout, route.latency_target.total_seconds())
        return Request(
            request_id=request_id,
            organisation=organisation.name if organisation else "",
            service=self._split.choose(route),
            method=head.method.decode("ascii"),
            target=target,
            headers=[item for item in received if item[0] not in replaced],
            deadline=now + timeout,
            idempotent=route.kind.is_idempotent,
            route=route.name,
            priority=_get_priority(route, organisation),
            useful_until=now + useful_seconds,
            max_attempts=route.max_attempts,
            calling_service=self._get_service(),
            large_response=route.kind is RouteKind.DOWNLOAD,
            permission=permission,
        )

    def make_refusal(
        self, exc: RefusedError, request_id: str
    ) -> tuple[int, Headers, bytes]:
        """Returns the status and headers of a refusal, and an empty body.

        A request that may have run gets status 502 in place of a status that
        guarantees that it has not run.
        """
        status = exc.status
        if exc.outcome is not Outcome.NOT_RUN and status in _NOT_RUN_STATUSES:
            status = 502
        headers: Headers = []
        if request_id != "-":
            headers.append((header_names.REQUEST_ID, request_id.encode()))
        if status == 401:
            headers.append((b"www-authenticate", b"Token"))
        if status in (429, 503):
            seconds = exc.retry_after.total_seconds()
            headers.append((b"retry-after", b"%.3f" % seconds))
        return status, headers, b""

    def get_metrics_label(self, request: Request) -> str:
        """Returns the name of the route, by which metrics are grouped."""
        return request.route

    def get_response_headers(self) -> Headers:
        """Returns no headers: responses are forwarded unchanged."""
        return []


def _get_priority(route: Route, organisation: Organisation | None) -> int:
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority
