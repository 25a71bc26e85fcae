"""The HTTP endpoint for reports of the instance on this host."""

import re
from collections.abc import Awaitable, Callable

import h11

from rhubarbpaddle.exceptions import ProtocolError
from rhubarbpaddle.http.request_responder import ShortResponse
from rhubarbpaddle.node.instance_boot import InstanceBoot
from rhubarbpaddle.node.instance_registry import InstanceRegistry
from rhubarbpaddle.platform.report_document import (
    parse_departure,
    parse_report,
)
from rhubarbpaddle.telemetry import get_logger

# Nodes do not accept longer names from each other.
_TARGET = re.compile(rb"/instances/([^/?]{1,255})/(heartbeat|deregister)")
_JSON = b"application/json"

_log = get_logger("reports")


class ReportHandler:
    """Passes status reports and departures to the instance registry."""

    def __init__(
        self,
        registry: InstanceRegistry,
        record_departure: Callable[[InstanceBoot], Awaitable[None]],
    ) -> None:
        """Creates a handler.

        Args:
            registry: Tracks the instance on this host.
            record_departure: Stores a departure before it is acknowledged.
        """
        self._registry = registry
        self._record_departure = record_departure

    async def respond(self, head: h11.Request, content: bytes) -> ShortResponse:
        """Returns the response to a request of the instance.

        An invalid report gets status 400 and does not change the state of the
        instance.
        """
        match = _TARGET.fullmatch(head.target)
        if head.method != b"POST" or match is None:
            return 404, _JSON, b"{}"
        instance = match[1].decode("latin-1")
        try:
            if match[2] == b"heartbeat":
                report = parse_report(instance, content)
                is_newest = self._registry.handle_report(report)
                departed = report.boot if is_newest and report.leaving else None
            else:
                incarnation = parse_departure(instance, content)
                departed = self._registry.handle_departure(
                    instance, incarnation
                )
        except ProtocolError as exc:
            _log.warn("report_invalid", instance=instance, error=exc)
            return 400, _JSON, b"{}"
        if departed is not None:
            await self._record_departure(departed)
        return 200, _JSON, b"{}"
