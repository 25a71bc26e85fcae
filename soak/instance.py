"""An instance that reports to the node beside it and notes what it runs."""

import json
import random
import time
from collections.abc import Callable
from datetime import timedelta

import h11
import trio

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.tcp_network import TcpNetwork
from soak.records import Run
from standins.platform_instance import PlatformInstance

_REPORT = timedelta(milliseconds=500)
_ACKNOWLEDGED_WITHIN = 1.0
COLD_SECONDS = 2.0
_SPELL_SECONDS = 0.3
_SLOW_SHARE = 0.25
_SLOW_PACE = 500


class SoakInstance:
    """One start of an instance.

    Attributes:
        instance: Its id.
        left_at: When its departure was acknowledged, or None.
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
    ) -> None:
        """Makes an instance that does not serve yet.

        Args:
            host: Its host.
            number: Counts the starts on the host.
            report_address: Where it reports.
            runs: Where it notes what it runs.
            rng: The source of slow spells.
            is_cold: Whether it starts cold.
            service: Its service.
        """
        self._service = service
        self.instance = f"i-{host}-{number}"
        self.left_at: float | None = None
        self._host = host
        self._report_address = report_address
        self._rng = rng
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._leaving = False
        cold = COLD_SECONDS if is_cold else 0.0
        self._warm_at = trio.current_time() + cold
        self._server = PlatformInstance(
            self.instance, on_run=self._make_noter(runs)
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
                trio.serve_listeners, self._server.handle, listeners
            )
            nursery.start_soon(self._change_pace)
            task_status.started()
            while True:
                if await self._report() and self._leaving:
                    self.left_at = self.left_at or trio.current_time()
                await trio.sleep(_REPORT.total_seconds())

    def leave(self) -> None:
        """Reports from now on that it is leaving."""
        self._leaving = True

    def _make_noter(self, runs: list[Run]) -> Callable[[str], None]:
        def note(request_id: str) -> None:
            now = trio.current_time()
            cold = now < self._warm_at
            runs.append(Run(request_id, self._host, self.instance, now, cold))

        return note

    async def _change_pace(self) -> None:
        while True:
            slow = self._rng.random() < _SLOW_SHARE
            self._server.slowdown_percent = _SLOW_PACE if slow else 100
            left = max(0.0, self._warm_at - trio.current_time())
            self._server.cold_ms = int(left * 1000)
            await trio.sleep(self._rng.uniform(0.3, 1.0) * _SPELL_SECONDS)

    async def _report(self) -> bool:
        """Sends a report and returns whether it was acknowledged."""
        self._sequence += 1
        left = max(0.0, self._warm_at - trio.current_time())
        document = {
            "service": self._service,
            "address": "-",
            "zone": "-",
            "version": "v1",
            "slots": 6,
            "state": "draining" if self._leaving else "ready",
            "coldRemainingMs": int(left * 1000),
            "seq": self._sequence,
            "born": self._born,
        }
        body = json.dumps(document).encode()
        head = h11.Request(
            method="POST",
            target=f"/instances/{self.instance}/heartbeat",
            headers=[("host", "-"), ("content-length", str(len(body)))],
        )
        with trio.move_on_after(_ACKNOWLEDGED_WITHIN):
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
