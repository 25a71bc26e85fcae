"""A stand-in for an application instance on a machine."""

import asyncio
import contextlib
import itertools
import json
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from harness3.http_message import HttpMessage, make_message, read_message
from harness3.record import Record

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
_ACK_SECONDS = 1.0


class Run(NamedTuple):
    """A request that an instance has begun to work on.

    Attributes:
        at: Seconds of the record's clock.
        request_id: The id of the request.
        service: The service of the instance.
        instance: The id of the instance.
        target: The request's path and query.
    """

    at: float
    request_id: str
    service: str
    instance: str
    target: str


class Instance:
    """One start of an instance: it serves, reports and counts its runs.

    Attributes:
        instance_id: Its id.
        state: What it reports, `ready` or `draining`.
        born: The Unix millisecond of its start by its machine's clock.
        work_seconds: How long a request takes.
        slots: How many requests it runs at once.
        load_percent: The fourth figure of its load.
        cold_until: Until when it is cold, by the record's clock.
        answer: Writes the answer to a request, in place of the usual one; it
            returns whether the connection stays open.
        acks: When each of its reports was acknowledged, and its state then.
    """

    def __init__(
        self,
        instance_id: str,
        service: str,
        zone: str,
        record: Record,
        runs: list[Run],
        *,
        born: int = 0,
    ) -> None:
        """Creates an instance that does not serve yet."""
        self.instance_id = instance_id
        self.service = service
        self.state = "ready"
        self.born = born or int(time.time() * 1000)
        self.work_seconds = 0.02
        self.slots = 8
        self.load_percent = 100
        self.cold_until = 0.0
        self.answer: (
            Callable[[HttpMessage, asyncio.StreamWriter], Awaitable[bool]]
            | None
        ) = None
        self.acks: list[tuple[float, str]] = []
        self._zone = zone
        self._record = record
        self._runs = runs
        self._sequence = itertools.count(1)
        self._running = 0
        self._server: asyncio.Server | None = None
        self._reports: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(
        self, ip: str, port: int, control: str, heartbeat_s: float
    ) -> None:
        """Serves at an address and reports to the control address."""
        self._server = await asyncio.start_server(
            self._handle, ip, port, limit=1 << 20
        )
        self._address = f"{ip}:{port}"
        self._control = control
        self._reports = asyncio.create_task(self._report_all(heartbeat_s))
        self._record.add(
            "instance_started", id=self.instance_id, born=self.born
        )

    async def crash(self) -> None:
        """Ends without notice; its connections are reset."""
        assert self._server is not None and self._reports is not None
        self._reports.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._record.add(
            "instance_crashed", id=self.instance_id, born=self.born
        )

    async def report(self) -> bool:
        """Sends one status report and returns whether it was acknowledged."""
        document = {
            "service": self.service,
            "address": self._address,
            "zone": self._zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": self.get_cold_ms(),
            "seq": next(self._sequence),
            "born": self.born,
        }
        state = self.state
        target = f"/instances/{self.instance_id}/heartbeat"
        status = await self._call(target, json.dumps(document).encode())
        if 200 <= status < 300:
            self.acks.append((self._record.now(), state))
        self._record.add(
            "report",
            id=self.instance_id,
            born=self.born,
            seq=document["seq"],
            state=state,
            status=status,
        )
        return 200 <= status < 300

    async def _report_all(self, heartbeat_s: float) -> None:
        while True:
            await self.report()
            await asyncio.sleep(heartbeat_s)

    async def _call(self, target: str, body: bytes) -> int:
        host, _, port = self._control.rpartition(":")
        with contextlib.suppress(EOFError, OSError, TimeoutError):
            async with asyncio.timeout(_ACK_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    headers = {
                        "Host": self._control,
                        "Content-Type": "application/json",
                    }
                    start = f"POST {target} HTTP/1.1"
                    writer.write(make_message(start, headers, body))
                    return (await read_message(reader)).status
                finally:
                    writer.close()
        return 0

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
                while await self._serve(await read_message(reader), writer):
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()

    def make_headers(self, request_id: str = "") -> dict[str, str]:
        """Returns the headers of an answer."""
        load = f"{self._running},0,{self.slots},{self.load_percent}"
        headers = {"Server-Load": load}
        if request_id:
            headers["Request-Id"] = request_id
            headers["Server-Signature"] = SIGNATURE
        else:
            headers["Instance-Id"] = self.instance_id
            headers["Cold-Ms"] = str(self.get_cold_ms())
        return headers

    def get_cold_ms(self) -> int:
        """Returns for how long it stays cold."""
        return max(0, int((self.cold_until - self._record.now()) * 1000))

    async def _serve(
        self, request: HttpMessage, writer: asyncio.StreamWriter
    ) -> bool:
        target = request.start[1]
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            start = f"HTTP/1.1 {status} -"
            writer.write(make_message(start, self.make_headers()))
            return True
        request_id = request.headers.get("request-id", "")
        expected = request.headers.get("expected-instance", self.instance_id)
        if expected != self.instance_id:
            self._record.add("misdirected", id=request_id, at=self.instance_id)
            headers = {"Instance-Id": self.instance_id, "Not-Executed": "1"}
            writer.write(make_message("HTTP/1.1 421 -", headers))
            return True
        run = Run(
            self._record.now(),
            request_id,
            self.service,
            self.instance_id,
            target,
        )
        self._runs.append(run)
        self._record.add(
            "run",
            id=request_id,
            service=self.service,
            instance=self.instance_id,
            target=target,
        )
        self._running += 1
        try:
            if self.answer is not None:
                return await self.answer(request, writer)
            await asyncio.sleep(self.work_seconds * random.uniform(0.5, 1.5))
        finally:
            self._running -= 1
        self.write_success(writer, request_id)
        return True

    def write_success(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        """Writes the usual answer to a request."""
        headers = self.make_headers(request_id)
        body = request_id.encode()
        writer.write(make_message("HTTP/1.1 200 OK", headers, body))
