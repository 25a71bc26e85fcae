"""A stand-in for an upstream."""

import json
import os
import random
import time
from collections import Counter
from collections.abc import Callable

import h11
import trio

from standins.http_server import StandinRequest, StandinResponse
from standins.warm_up import WarmUp

_RENEWAL_SECONDS = 0.4
_FAILURE_SECONDS = 0.5
_NOT_RUN = (("rhubarbpaddle-outcome", "not-run"),)


class Upstream:
    """Responds to requests after a time of simulated work.

    Attributes:
        runs: The number of runs of each request, by method and target.
        probes: The number of requests to `/health` and to `/load`.
        state: The state that it announces: `cold`, `warm` or `leaving`.
        response_bytes: The number of padding bytes in each response.
        capacity: The number of requests that run at once; others are queued.
        work_seconds: How long a request runs.
        jitter: The fraction of this time by which it varies, up and down.
        warm_up: The capacity after the start, or None if it starts warm.
        reported_load: The load that `/load` reports, or None for the real one.
        extra_latency_seconds: Added to the time of each response.
        fails_fast: Whether it responds with 500 at once.
        sheds_above: The number of requests in flight above which it responds
            with 503, or None.
        crash_target: The prefix of targets of requests that crash it.
        on_crash: Ends the process; a test may replace it.
        in_flight: The number of requests that run or are queued.
    """

    def __init__(
        self, service: str, instance: str, slots: int, work_seconds: float
    ) -> None:
        self.service = service
        self.instance = instance
        self.runs: Counter[str] = Counter()
        self.probes: Counter[str] = Counter()
        self.state = "warm"
        self.response_bytes = 0
        self.work_seconds = work_seconds
        self.jitter = 0.0
        self.warm_up: WarmUp | None = None
        self.reported_load: int | None = None
        self.extra_latency_seconds = 0.0
        self.fails_fast = False
        self.sheds_above: int | None = None
        self.crash_target = "/crash"
        self.on_crash: Callable[[], None] = lambda: os._exit(1)
        self.in_flight = 0
        self._rng = random.Random(f"{service} {instance}")
        self._slots = trio.CapacityLimiter(slots)
        self._failing_until = float("-inf")

    @property
    def capacity(self) -> int:
        """The number of requests that run at once."""
        return int(self._slots.total_tokens)

    @capacity.setter
    def capacity(self, slots: int) -> None:
        self._slots.total_tokens = slots

    async def handle(self, request: StandinRequest) -> StandinResponse:
        """Responds to one request."""
        match request.target:
            case "/health":
                self.probes["/health"] += 1
                return StandinResponse(200, b"ok\n")
            case "/load":
                self.probes["/load"] += 1
                return _to_response(self._describe_load())
            case "/runs":
                return _to_response(dict(self.runs))
            case "/leave":
                self.state = "leaving"
                return StandinResponse(200, b"ok\n")
        self.in_flight += 1
        try:
            return await self._run(request)
        finally:
            self.in_flight -= 1

    async def _run(self, request: StandinRequest) -> StandinResponse:
        if request.target.startswith(self.crash_target):
            self.runs[f"{request.method} {request.target}"] += 1
            self.on_crash()
            return StandinResponse(0, b"")
        if self.fails_fast or self._is_overloaded():
            return StandinResponse(500, b"failed\n")
        if self.sheds_above is not None and self.in_flight > self.sheds_above:
            return StandinResponse(503, b"shed\n", _NOT_RUN)
        async with self._slots:
            self.runs[f"{request.method} {request.target}"] += 1
            await trio.sleep(self._get_work_seconds())
        if self.warm_up is not None:
            self.warm_up.record_response()
        document = {
            "service": self.service,
            "instance": self.instance,
            "method": request.method,
            "target": request.target,
            "body_bytes": len(request.body),
            "filling": "." * self.response_bytes,
        }
        return _to_response(document)

    def _is_overloaded(self) -> bool:
        if self.warm_up is None:
            return False
        now = trio.current_time()
        if self.in_flight > self.warm_up.get_capacity():
            self.warm_up.violations += 1
            self.warm_up.restart()
            self._failing_until = now + _FAILURE_SECONDS
        return now < self._failing_until

    def _get_work_seconds(self) -> float:
        seconds = self.work_seconds * (
            1 + self.jitter * self._rng.uniform(-1.0, 1.0)
        )
        if self.warm_up is not None:
            seconds *= self.warm_up.get_slowdown(self.in_flight)
        return seconds + self.extra_latency_seconds

    def _describe_load(self) -> dict[str, object]:
        load = self.reported_load
        return {
            "in_flight": self.in_flight if load is None else load,
            "state": self.state,
        }

    async def announce(self, admin_address: str, address: str) -> None:
        """Announces this upstream to the node on its host until cancelled."""
        host, _, port = admin_address.rpartition(":")
        incarnation = time.time_ns() // 1_000
        while True:
            document = {
                "service": self.service,
                "instance": self.instance,
                "address": address,
                "incarnation": incarnation,
                "state": self.state,
            }
            content = json.dumps(document).encode()
            with trio.move_on_after(1.0):
                try:
                    async with await trio.open_tcp_stream(
                        host, int(port)
                    ) as stream:
                        await _post(stream, admin_address, content)
                except (OSError, trio.BrokenResourceError):
                    # The node stops, or is not started yet.
                    pass
            await trio.sleep(_RENEWAL_SECONDS)


async def _post(
    stream: trio.SocketStream, admin_address: str, content: bytes
) -> None:
    conn = h11.Connection(h11.CLIENT)
    head = h11.Request(
        method="POST",
        target="/announcements",
        headers=[
            ("host", admin_address),
            ("content-length", str(len(content))),
        ],
    )
    events = (head, h11.Data(data=content), h11.EndOfMessage())
    await stream.send_all(b"".join(conn.send(e) or b"" for e in events))
    await stream.receive_some()


def _to_response(document: object) -> StandinResponse:
    return StandinResponse(
        200,
        json.dumps(document).encode() + b"\n",
        (("content-type", "application/json"),),
    )
