"""An instance that reports to the node beside it and records its runs."""

import json
import random
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import h11
import trio

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.tcp_network import TcpNetwork
from soak.large_content import find_large_response
from soak.records import Run
from standins.platform_instance import PlatformInstance

_REPORT_INTERVAL = timedelta(milliseconds=500)
_REPORT_TIMEOUT_SECONDS = 1.0
COLD_SECONDS = 2.0
# The slowdown is chosen again after at most this time.
_MAX_SLOWDOWN_PERIOD_SECONDS = 0.3
_SLOW_PROBABILITY = 0.25
_SLOWDOWN_PERCENT = 500


class SoakInstance:
    """One start of an instance; each start has a new id.

    Attributes:
        instance_id: The id of the instance.
        server: Serves its requests and health checks.
        departure_acknowledged_at: When its departure was acknowledged, or None.
    """

    def __init__(
        self,
        host: str,
        number: int,
        report_address: str,
        runs: list[Run],
        rng: random.Random,
        is_cold: bool,
        service: str,
        version: str,
        failure_share: float,
    ) -> None:
        """Creates an instance that does not serve yet.

        Args:
            host: The name of its host.
            number: The number of the start on this host.
            report_address: `IP:PORT` of the node, which receives its reports.
            runs: The list to which it appends its runs.
            rng: The random number generator for slowdowns.
            is_cold: Whether it starts cold.
            service: Its service.
            version: Its version.
            failure_share: The share of its requests that it fails.
        """
        self._service = service
        self._version = version
        self.instance_id = f"i-{host}-{number}"
        self.departure_acknowledged_at: float | None = None
        self._host = host
        self._report_address = report_address
        self._rng = rng
        self._sequence = 0
        self._started_ms = int(time.time() * 1000)
        self._leaving = False
        self._is_reporting = True
        cold_seconds = COLD_SECONDS if is_cold else 0.0
        self._warm_at = trio.current_time() + cold_seconds
        self.server = PlatformInstance(
            self.instance_id, on_run=self._make_recorder(runs)
        )
        self.server.get_status = lambda target: (
            500 if rng.random() < failure_share else 200
        )
        self.server.find_large_response = lambda target, request_id: (
            find_large_response(
                target, request_id, self.server.truncated_length is not None
            )
        )

    async def run(
        self,
        address: str,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves and reports until cancelled."""
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners, self.server.handle, listeners
            )
            nursery.start_soon(self._vary_slowdown)
            task_status.started()
            while True:
                if (
                    self._is_reporting
                    and await self.send("heartbeat", self.make_report())
                    and self._leaving
                ):
                    self.departure_acknowledged_at = (
                        self.departure_acknowledged_at or trio.current_time()
                    )
                await trio.sleep(_REPORT_INTERVAL.total_seconds())

    @property
    def check_count(self) -> int:
        """The number of health checks that it has responded to."""
        return self.server.checks

    def leave(self) -> None:
        """Makes all further reports state that it is leaving."""
        self._leaving = True

    def _make_recorder(self, runs: list[Run]) -> Callable[[str], None]:
        def record(request_id: str) -> None:
            now = trio.current_time()
            is_cold = now < self._warm_at
            headers = self.server.heads[-1]
            runs.append(
                Run(
                    request_id,
                    self._host,
                    self.instance_id,
                    now,
                    is_cold,
                    self.server.bodies[-1],
                    headers.get("tenant-id", ""),
                    "authorization" in headers
                    or any("key-" in value for value in headers.values()),
                    self._version,
                )
            )

        return record

    async def _vary_slowdown(self) -> None:
        while True:
            is_slow = self._rng.random() < _SLOW_PROBABILITY
            self.server.slowdown_percent = _SLOWDOWN_PERCENT if is_slow else 100
            remaining = max(0.0, self._warm_at - trio.current_time())
            self.server.cold_ms = int(remaining * 1000)
            await trio.sleep(
                self._rng.uniform(0.3, 1.0) * _MAX_SLOWDOWN_PERIOD_SECONDS
            )

    def make_report(self) -> dict[str, Any]:
        """Returns the next status report."""
        self._sequence += 1
        remaining = max(0.0, self._warm_at - trio.current_time())
        return {
            "service": self._service,
            "address": "-",
            "zone": "-",
            "version": self._version,
            "slots": 6,
            "state": "draining" if self._leaving else "ready",
            "coldRemainingMs": int(remaining * 1000),
            "seq": self._sequence,
            "born": self._started_ms,
        }

    async def depart(self, *, deregisters: bool) -> bool:
        """Announces the departure and sends no more reports.

        Args:
            deregisters: Whether it deregisters or reports that it is draining.

        Returns:
            Whether the departure was acknowledged.
        """
        self._leaving = True
        self._is_reporting = False
        if deregisters:
            return await self.send("deregister", {"born": self._started_ms})
        return await self.send("heartbeat", self.make_report())

    async def send(
        self, call: str, document: dict[str, Any], name: str = ""
    ) -> bool:
        """Sends a call to the node and returns whether it was acknowledged.

        Args:
            call: `heartbeat` or `deregister`.
            document: The body.
            name: The instance in the path, if it is another one.
        """
        body = json.dumps(document).encode()
        head = h11.Request(
            method="POST",
            target=f"/instances/{name or self.instance_id}/{call}",
            headers=[("host", "-"), ("content-length", str(len(body)))],
        )
        with trio.move_on_after(_REPORT_TIMEOUT_SECONDS):
            try:
                stream = await TcpNetwork().connect(self._report_address)
                conn = ClientConnection(stream, self._report_address)
                try:
                    await conn.send_request(head, BytesBody(body))
                    response, _ = await conn.receive_response()
                    return response.status_code == 200
                finally:
                    await conn.aclose()
            except (OSError, RhubarbpaddleError):
                return False
        return False
