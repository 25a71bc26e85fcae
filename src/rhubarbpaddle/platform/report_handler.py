"""The HTTP endpoint for reports of the instance on this host."""

import re

import h11

from rhubarbpaddle.exceptions import ProtocolError
from rhubarbpaddle.http.request_responder import ShortResponse
from rhubarbpaddle.node.instance_registry import InstanceRegistry
from rhubarbpaddle.platform.report_document import (
    parse_departure,
    parse_report,
)
from rhubarbpaddle.telemetry import get_logger

_TARGET = re.compile(rb"/instances/([^/?]+)/(heartbeat|deregister)")
_JSON = b"application/json"

_log = get_logger("reports")


class ReportHandler:
    """Passes status reports and departures to the instance registry."""

    def __init__(self, registry: InstanceRegistry) -> None:
        self._registry = registry

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
                self._registry.handle_report(parse_report(instance, content))
            else:
                incarnation = parse_departure(instance, content)
                self._registry.handle_departure(instance, incarnation)
        except ProtocolError as exc:
            _log.warn("report_invalid", instance=instance, error=exc)
            return 400, _JSON, b"{}"
        return 200, _JSON, b"{}"
