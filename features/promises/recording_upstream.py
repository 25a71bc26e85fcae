"""An upstream that records the requests that it runs."""

from typing import NamedTuple

import trio

from standins.http_server import StandinRequest, StandinResponse

_COLD_SECONDS = 2.0
_COLD_CAPACITY = 1
_BODY_BYTES = 300
_LARGE_BODY_BYTES = 100_000


class Run(NamedTuple):
    """Records one execution of a request.

    Attributes:
        marker: Identifies the request.
        method: The HTTP method.
        instance: The upstream that ran it.
        availability_zone: The zone of that upstream.
        time: When it started, in seconds of virtual time.
        incarnation: The id of the upstream's object.
    """

    marker: str
    method: str
    instance: str
    availability_zone: str
    time: float
    incarnation: int


class RecordingUpstream:
    """Runs requests and records when it is given too much work.

    Attributes:
        runs: The executions of all upstreams of the run.
        state: The state that it announces.
        delay: Seconds that it takes for a request.
        failing: Whether it responds to each request with status 500.
        crashed: Set when it has crashed.
        violations: One message for each time that it had more requests in
            flight than it has slots, or than it can run during a cold start.
        probe_seconds: Time spent on health and load requests.
        started: When it started.
        leaving_since: When it announced that it was leaving, or None.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        availability_zone: str,
        slots: int,
        runs: list[Run],
    ) -> None:
        self.instance = instance
        self.service = service
        self.availability_zone = availability_zone
        self.runs = runs
        self.state = "warm"
        self.delay = 0.005
        self.failing = False
        self.crashed = trio.Event()
        self.violations: list[str] = []
        self.probe_seconds = 0.0
        self.started = trio.current_time()
        self.leaving_since: float | None = None
        self._slots = slots
        self._in_flight = 0
        self._cold_until = trio.current_time() + _COLD_SECONDS

    def leave(self) -> None:
        """Announces from now on that it is leaving."""
        self.state = "leaving"
        self.leaving_since = trio.current_time()

    def restart_cold_start(self) -> None:
        """Starts another cold start without announcing it."""
        self._cold_until = trio.current_time() + _COLD_SECONDS

    async def handle(self, request: StandinRequest) -> StandinResponse:
        """Responds to one request."""
        if request.target in ("/health", "/load"):
            self.probe_seconds += 0.006
            await trio.sleep(0.006)
            return StandinResponse(200, b"{}")
        marker = request.target.strip("/")
        if marker.startswith("crash"):
            self._record(request, marker)
            self.crashed.set()
            return StandinResponse(0, b"")
        self._record(request, marker)
        if self.failing:
            return StandinResponse(500, f"{marker}:failed".encode())
        self._in_flight += 1
        try:
            self._check_capacity()
            await trio.sleep(self.delay)
        finally:
            self._in_flight -= 1
        is_large = marker.startswith("large")
        length = _LARGE_BODY_BYTES if is_large else _BODY_BYTES
        return StandinResponse(200, f"{marker}:".encode().ljust(length, b"."))

    def _record(self, request: StandinRequest, marker: str) -> None:
        self.runs.append(
            Run(
                marker,
                request.method,
                self.instance,
                self.availability_zone,
                trio.current_time(),
                id(self),
            )
        )

    def _check_capacity(self) -> None:
        if self._in_flight > self._slots:
            self.violations.append(
                f"{self.instance}: {self._in_flight} in flight exceed its slots"
            )
        is_cold = trio.current_time() < self._cold_until
        if is_cold and self._in_flight > _COLD_CAPACITY:
            self.violations.append(
                f"{self.instance}: {self._in_flight} in flight while cold"
            )
