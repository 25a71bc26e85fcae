"""A simulated upstream in virtual time."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from rhubarbpaddle.execution import Body, BytesBody, Request, Response

_FAIL_SECONDS = 0.0002
_WARM_UP_SECONDS = 1.0
# The assumed work of a probe.
_PROBE_SECONDS = 0.002


class FakeUpstream:
    """Runs as many requests concurrently as it has slots, and queues others.

    The target of a request is its work in seconds, so that all policies get the
    same work.

    Attributes:
        slowdown_factor: The factor on the work, above 1 for a straggler.
        failing: Whether all requests fail immediately.
        work_done: The work done, in seconds.
        probe_seconds: The time spent on probes.
    """

    def __init__(self, slots: int) -> None:
        self.slowdown_factor = 1.0
        self.failing = False
        self.work_done = 0.0
        self.probe_seconds = 0.0
        self._slots = slots
        self._semaphore = trio.Semaphore(slots)
        self._running = 0
        self._cold_since = float("-inf")

    def restart(self) -> None:
        """Makes it cold; the capacity grows from 1 to all slots within 1 s."""
        self._cold_since = trio.current_time()

    def get_capacity(self) -> int:
        """Returns the number of concurrent requests that it can run now."""
        warmth = (trio.current_time() - self._cold_since) / _WARM_UP_SECONDS
        return max(1, int(self._slots * min(1.0, warmth)))

    @asynccontextmanager
    async def send(
        self, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        """Runs a request; those above the capacity of a cold start fail."""
        async with self._semaphore:
            self._running += 1
            try:
                yield await self._respond(request.target)
            finally:
                self._running -= 1

    async def is_open(self) -> bool:
        """Returns True: a restart keeps the listener open."""
        return True

    async def aclose(self) -> None:
        """Does nothing, because there are no connections."""

    async def _respond(self, target: str) -> Response:
        if not target.startswith("/"):
            return await self._run(float(target))
        started = trio.current_time()
        response = await self._run(_PROBE_SECONDS)
        self.probe_seconds += trio.current_time() - started
        return response

    async def _run(self, work_seconds: float) -> Response:
        if self.failing or self._running > self.get_capacity():
            await trio.sleep(_FAIL_SECONDS)
            return Response(503, [], BytesBody(b""), None)
        await trio.sleep(work_seconds * self.slowdown_factor)
        self.work_done += work_seconds * self.slowdown_factor
        return Response(200, [], BytesBody(b""), None)
