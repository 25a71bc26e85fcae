"""Serves operators, metrics scrapers and the upstream over HTTP."""

from collections.abc import Callable

import h11
import msgspec
import trio

from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.http.request_responder import RequestResponder
from rhubarbpaddle.node.announcement import Announcement
from rhubarbpaddle.node.announcement_document import AnnouncementDocument
from rhubarbpaddle.node.node_status import NodeStatus
from rhubarbpaddle.node.upstream_registry import UpstreamRegistry
from rhubarbpaddle.telemetry import Metrics


class AdminHandler:
    """Handles health, readiness, metrics, status and announcement requests."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        metrics: Metrics,
        get_accepted: Callable[[], AcceptedConfiguration | None],
        get_status: Callable[[], NodeStatus],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._registry = registry
        self._metrics = metrics
        self._get_accepted = get_accepted
        self._get_status = get_status
        self._is_leaving = is_leaving
        self._responder = RequestResponder(self._respond)

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it is closed."""
        await self._responder.handle(stream)

    async def _respond(
        self, head: h11.Request, content: bytes
    ) -> tuple[int, bytes, bytes]:
        match head.method, head.target:
            case b"GET", b"/healthz":
                return 200, b"text/plain", b"ok\n"
            case b"GET", b"/readyz":
                if self._is_leaving():
                    return 503, b"text/plain", b"shutting down\n"
                if self._get_accepted() is None:
                    return 503, b"text/plain", b"no configuration\n"
                return 200, b"text/plain", b"ready\n"
            case b"GET", b"/metrics":
                return (
                    200,
                    b"text/plain; version=0.0.4",
                    await self._metrics.render(),
                )
            case b"GET", b"/status":
                status = msgspec.json.encode(self._get_status()._asdict())
                return 200, b"application/json", status
            case b"POST", b"/announcements":
                return await self._announce(content)
        return 404, b"text/plain", b"not found\n"

    async def _announce(self, content: bytes) -> tuple[int, bytes, bytes]:
        try:
            document = msgspec.json.decode(content, type=AnnouncementDocument)
        except (msgspec.DecodeError, RecursionError) as exc:
            return 400, b"text/plain", f"{exc}\n".encode()
        accepted = self._get_accepted()
        if accepted is None:
            return 503, b"text/plain", b"no configuration\n"
        announcement = Announcement(**document)
        if not await self._registry.announce(announcement, accepted):
            return 409, b"text/plain", b"unknown service\n"
        return 200, b"text/plain", b"ok\n"
