"""The limit: one queue that knows everything at once."""

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from bench.policy.deployment import Deployment
from bench.policy.host import Host
from bench.policy.memory_dispatcher import get_trip
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Body, BytesBody, Request, Response

NOISY = "noisy"


class CentralQueue:
    """Gives each request the nearest free slot of a healthy instance.

    Requests that wait are served in order, the noisy tenant's last. The way to
    the instance passes while a request waits. Slots are free at once when a
    request ends.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._running: dict[str, int] = {}
        self._quiet: deque[tuple[Host, trio.Event, list[Host]]] = deque()
        self._noisy: deque[tuple[Host, trio.Event, list[Host]]] = deque()

    @asynccontextmanager
    async def handle(
        self, own: Host, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        """Runs a request and yields its answer."""
        started = trio.current_time()
        host = self._find(own)
        if host is None:
            host = await self._wait(own, request)
        else:
            self._running[host.name] = self._running.get(host.name, 0) + 1
        trip = get_trip(own, host, self._deployment.size.one_way)
        try:
            waited = trio.current_time() - started
            await trio.sleep(max(0.0, trip - waited))
            await trio.sleep(float(request.target))
        finally:
            self._running[host.name] -= 1
            self.wake()
        await trio.sleep(trip)
        yield Response(200, [], BytesBody(b""), None)

    def wake(self) -> None:
        """Gives free slots to requests that wait."""
        for queue in (self._quiet, self._noisy):
            while queue:
                own, event, found = queue[0]
                host = self._find(own)
                if host is None:
                    return
                queue.popleft()
                self._running[host.name] = self._running.get(host.name, 0) + 1
                found.append(host)
                event.set()

    async def _wait(self, own: Host, request: Request) -> Host:
        entry = (own, trio.Event(), list[Host]())
        queue = self._noisy if request.tenant == NOISY else self._quiet
        queue.append(entry)
        with trio.move_on_at(request.deadline):
            await entry[1].wait()
        if entry[2]:
            return entry[2][0]
        queue.remove(entry)
        raise RefusedError("queue_deadline", "no free slot", step="admit")

    def _find(self, own: Host) -> Host | None:
        one_way = self._deployment.size.one_way
        free = [
            host
            for host in self._deployment.get_instances()
            if self._is_free(host)
        ]
        return min(free, key=lambda h: get_trip(own, h, one_way), default=None)

    def _is_free(self, host: Host) -> bool:
        upstream = host.upstream
        assert upstream is not None
        return (
            host.reachable
            and host.sidecar.in_service
            and not upstream.failing
            and upstream.slowness == 1.0
            and self._running.get(host.name, 0) < upstream.get_capacity()
        )
