"""A stand-in for an application instance."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import NamedTuple

from harness2.http_wire import (
    Message,
    encode_response,
    read_request,
    read_response,
)
from harness2.record import Record

_QUEUE_FACTOR = 4


class Run(NamedTuple):
    """A request that an instance began to work on."""

    at: float
    request_id: str
    host: str


class Instance:
    """Runs requests, reports its state, and tells its load.

    Attributes:
        instance_id: Its id.
        born: The Unix millisecond of its start.
        runs: What it began to run.
        arrivals: When requests arrived that named it, cold or not.
        work_seconds: Returns how long a request takes.
        crashes_on: Returns whether a request crashes it.
        large_body: Returns the body of a response, and how much of it is sent
            before the connection breaks off, or None.
        load_percent: Returns the fourth figure of its load: how long work
            takes at this moment.
        cold_until: When it is warm, in seconds of the record.
        draining: Whether it is leaving.
        reports: Whether it sends status reports.
    """

    def __init__(
        self,
        host: str,
        address: tuple[str, int],
        control: tuple[str, int],
        service: str,
        zone: str,
        record: Record,
        number: int = 1,
        slots: int = 12,
        heartbeat_seconds: float = 1.5,
    ) -> None:
        """Creates an instance that does not listen yet."""
        self.host = host
        self.instance_id = f"i-{host}-{number}"
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.arrivals: list[float] = []
        self.work_seconds: Callable[[Message], float] = lambda _: 0.05
        self.crashes_on: Callable[[Message], bool] = lambda _: False
        self.large_body: Callable[[Message], tuple[bytes, int] | None] = (
            lambda _: None
        )
        self.load_percent: Callable[[], int] = lambda: 100
        self.cold_until = -1.0
        self.draining = False
        self.reports = True
        self.sequence = 0
        self.slots = slots
        self.crashed = asyncio.Event()
        self._address = address
        self._control = control
        self._service = service
        self._zone = zone
        self._record = record
        self._heartbeat_seconds = heartbeat_seconds
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens and begins to send status reports."""
        self._server = await asyncio.start_server(self._serve, *self._address)
        self._spawn(self._send_reports())

    def crash(self) -> None:
        """Ends as a process that crashed: nothing more is answered."""
        if self.crashed.is_set():
            return
        self.crashed.set()
        self._record.write("instance_crashed", instance=self.instance_id)
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()

    def make_report(self, state: str) -> dict[str, object]:
        """Returns its next status report."""
        self.sequence += 1
        return {
            "service": self._service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "zone": self._zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": self._get_cold_ms(),
            "seq": self.sequence,
            "born": self.born,
        }

    async def post(
        self,
        call: str,
        document: dict[str, object],
        instance_id: str | None = None,
    ) -> int:
        """Sends a report to the node.

        Args:
            call: The call.
            document: The body.
            instance_id: The id in the path; its own if None.

        Returns:
            The status of the response, or 0 without one.
        """
        instance_id = instance_id or self.instance_id
        body = json.dumps(document).encode()
        head = (
            f"POST /instances/{instance_id}/{call} HTTP/1.1\r\n"
            f"Host: {self._control[0]}:{self._control[1]}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        status = 0
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._control)
                try:
                    writer.write(head.encode() + body)
                    response = await read_response(reader)
                    status = response.status if response else 0
                finally:
                    writer.close()
        self._record.write(
            "report",
            call=call,
            id=instance_id,
            status=status,
            document=document,
        )
        return status

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _get_cold_ms(self) -> int:
        return max(0, int((self.cold_until - self._record.now()) * 1000))

    async def _send_reports(self) -> None:
        while True:
            if self.reports:
                state = "draining" if self.draining else "ready"
                await self.post("heartbeat", self.make_report(state))
            await asyncio.sleep(self._heartbeat_seconds)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while request := await read_request(reader):
                if not request.complete:
                    return
                if not await self._respond(request, reader, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Responds; returns whether the connection stays open."""
        _, target, _ = request.start.split(" ")
        load = f"{self._running},{self._waiting},{self.slots}"
        load += f",{self.load_percent()}"
        if target == "/health":
            headers = [
                ("Instance-Id", self.instance_id),
                ("Server-Load", load),
                ("Cold-Ms", str(self._get_cold_ms())),
            ]
            status = 503 if self.draining else 200
            writer.write(encode_response(status, headers, b""))
            await writer.drain()
            return True
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expected-instance") != self.instance_id:
            headers = [
                ("Instance-Id", self.instance_id),
                ("Request-Id", request_id),
            ]
            self._record.write("misdirected", host=self.host, id=request_id)
            writer.write(encode_response(421, headers, b""))
            await writer.drain()
            return True
        self.arrivals.append(self._record.now())
        if self._waiting >= _QUEUE_FACTOR * self.slots:
            headers = [("Not-Executed", "1"), ("Request-Id", request_id)]
            self._record.write("shed", host=self.host, id=request_id)
            writer.write(encode_response(503, headers, b""))
            await writer.drain()
            return True
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self.runs.append(
                Run(self._record.now(), request_id, self.instance_id)
            )
            self._record.write(
                "run", instance=self.instance_id, id=request_id, target=target
            )
            if self.crashes_on(request):
                self.crash()
                return False
            await asyncio.sleep(self.work_seconds(request))
        finally:
            self._running -= 1
            self._free.release()
        headers = [
            ("Request-Id", request_id),
            ("Server-Signature", "s." + request_id),
            ("Server-Load", load),
        ]
        large = self.large_body(request)
        if large is not None:
            body, sent = large
            encoded = encode_response(200, headers, body)
            head_bytes = len(encoded) - len(body)
            writer.write(encoded[: head_bytes + sent])
            await writer.drain()
            if sent < len(body):
                await asyncio.sleep(0.3)
                writer.transport.abort()
                return False
            return True
        writer.write(encode_response(200, headers, request_id.encode()))
        await writer.drain()
        return True
