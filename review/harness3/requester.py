"""A requester on a machine, which sends one request at a time."""

import asyncio
import contextlib
import secrets
from typing import NamedTuple

from harness3.http_message import (
    HttpMessage,
    make_chunked_message,
    make_message,
    read_message,
)
from harness3.record import Record


class Outcome(NamedTuple):
    """What a requester got for one request.

    Attributes:
        request_id: The id of the request.
        sent_at: Seconds of the record's clock.
        status: The status of the answer; 0 if there was none.
        signed: Whether the answer bears an instance's signature.
        body: The body of the answer.
    """

    request_id: str
    sent_at: float
    status: int
    signed: bool
    body: bytes


async def send_request(
    address: str,
    record: Record,
    target: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 1200,
    *,
    chunked: bool = False,
) -> Outcome:
    """Sends a request on a new connection and returns its outcome."""
    request_id = secrets.token_hex(8)
    sent_at = record.now()
    record.add("send", id=request_id, to=address, method=method, target=target)
    answer: HttpMessage | None = None
    host, _, port = address.rpartition(":")
    with contextlib.suppress(EOFError, OSError, TimeoutError):
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                headers = {
                    "Host": "shop.example",
                    "Request-Id": request_id,
                    "Deadline-Ms": str(deadline_ms),
                }
                start = f"{method} {target} HTTP/1.1"
                make = make_chunked_message if chunked else make_message
                writer.write(make(start, headers, body))
                answer = await read_message(reader)
            finally:
                writer.close()
    status = answer.status if answer else 0
    record.add("answer", id=request_id, status=status)
    return Outcome(
        request_id,
        sent_at,
        status,
        bool(answer and "server-signature" in answer.headers),
        answer.body if answer else b"",
    )


class KeptConnection:
    """A requester that sends its requests on one connection.

    Attributes:
        sent_at: When it sent each request, by the record's clock.
    """

    def __init__(self, address: str, record: Record) -> None:
        """Creates a requester that is not connected."""
        self.sent_at: dict[str, float] = {}
        self._address = address
        self._record = record

    async def request_all(self, target: str, deadline_ms: int = 1200) -> None:
        """Sends one request after the other until cancelled."""
        host, _, port = self._address.rpartition(":")
        while True:
            with contextlib.suppress(EOFError, OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    while True:
                        await self._exchange(
                            reader, writer, target, deadline_ms
                        )
                finally:
                    writer.close()

    async def _exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
        deadline_ms: int,
    ) -> None:
        request_id = secrets.token_hex(8)
        self._record.add("send", id=request_id, to=self._address)
        self.sent_at[request_id] = self._record.now()
        headers = {
            "Host": "shop.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        writer.write(make_message(f"GET {target} HTTP/1.1", headers))
        answer = await read_message(reader)
        self._record.add("answer", id=request_id, status=answer.status)
        if answer.status == 503:
            delay = float(answer.headers.get("retry-after", "0.1"))
            await asyncio.sleep(min(delay, deadline_ms / 3000))
