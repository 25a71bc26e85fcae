"""The best possible policy: one queue with current state of all hosts."""

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from bench.policy.deployment import Deployment
from bench.policy.host import Host
from bench.policy.memory_dispatcher import get_network_delay
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Body, BytesBody, Request, Response

NOISY = "noisy"


class CentralQueue:
    """Assigns each request the nearest free slot of a healthy instance.

    Queued requests are served in order, those of the noisy tenant last. Time in
    the queue counts towards the network delay to the instance. A slot is free
    as soon as its request ends.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._running: dict[str, int] = {}
        self._quiet: deque[tuple[Host, trio.Event, list[Host]]] = deque()
        self._noisy: deque[tuple[Host, trio.Event, list[Host]]] = deque()

    @asynccontextmanager
    async def handle(
        self, own_host: Host, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        """Runs a request and yields its response."""
        enqueued_at = trio.current_time()
        host = self._find_nearest_free(own_host)
        if host is None:
            host = await self._enqueue(own_host, request)
        else:
            self._running[host.name] = self._running.get(host.name, 0) + 1
        delay = get_network_delay(
            own_host, host, self._deployment.size.cross_zone_seconds
        )
        try:
            queued_seconds = trio.current_time() - enqueued_at
            await trio.sleep(max(0.0, delay - queued_seconds))
            await trio.sleep(float(request.target))
        finally:
            self._running[host.name] -= 1
            self.wake()
        await trio.sleep(delay)
        yield Response(200, [], BytesBody(b""), None)

    def wake(self) -> None:
        """Assigns free slots to queued requests."""
        for queue in (self._quiet, self._noisy):
            while queue:
                own_host, event, assigned = queue[0]
                host = self._find_nearest_free(own_host)
                if host is None:
                    return
                queue.popleft()
                self._running[host.name] = self._running.get(host.name, 0) + 1
                assigned.append(host)
                event.set()

    async def _enqueue(self, own_host: Host, request: Request) -> Host:
        waiter = (own_host, trio.Event(), list[Host]())
        queue = self._noisy if request.tenant == NOISY else self._quiet
        queue.append(waiter)
        with trio.move_on_at(request.deadline):
            await waiter[1].wait()
        if waiter[2]:
            return waiter[2][0]
        queue.remove(waiter)
        raise RefusedError("queue_deadline", "no free slot", step="admit")

    def _find_nearest_free(self, own_host: Host) -> Host | None:
        cross_zone_seconds = self._deployment.size.cross_zone_seconds
        free_hosts = [
            host
            for host in self._deployment.get_upstream_hosts()
            if self._is_free(host)
        ]
        return min(
            free_hosts,
            key=lambda host: get_network_delay(
                own_host, host, cross_zone_seconds
            ),
            default=None,
        )

    def _is_free(self, host: Host) -> bool:
        upstream = host.upstream
        assert upstream is not None
        return (
            host.reachable
            and host.sidecar.in_service
            and not upstream.failing
            and upstream.slowdown_factor == 1.0
            and self._running.get(host.name, 0) < upstream.get_capacity()
        )
