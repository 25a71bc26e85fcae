"""A requester of one machine."""

import asyncio
import contextlib
from collections.abc import Sequence
from typing import NamedTuple

from harness2.http_wire import Message, read_response
from harness2.record import Record

_SLACK_SECONDS = 1.0


class Outgoing(NamedTuple):
    """A request to send.

    Attributes:
        request_id: Its id.
        method: Its method.
        host: The host of its route.
        target: Its path.
        body: Its body.
        chunked: Whether the body is sent in chunks.
        deadline_ms: How long the requester waits.
    """

    request_id: str
    method: str
    host: str
    target: str
    body: bytes = b""
    chunked: bool = False
    deadline_ms: int = 1200

    def encode(self) -> bytes:
        """Returns the bytes of the request."""
        lines = [
            f"{self.method} {self.target} HTTP/1.1",
            f"Host: {self.host}",
            f"Request-Id: {self.request_id}",
            f"Deadline-Ms: {self.deadline_ms}",
        ]
        if self.chunked:
            lines.append("Transfer-Encoding: chunked")
            size = len(self.body)
            content = b"%x\r\n%b\r\n0\r\n\r\n" % (size, self.body)
        else:
            lines.append(f"Content-Length: {len(self.body)}")
            content = self.body
        return "\r\n".join([*lines, "", ""]).encode() + content


class Answer(NamedTuple):
    """What a requester got for a request; status 0 without an answer."""

    request_id: str
    status: int
    signed: bool
    complete: bool
    body: bytes


class Requester:
    """Sends requests to the node of one machine, on a kept connection."""

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        """Creates a requester without a connection."""
        self._address = address
        self._record = record
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def send(self, request: Outgoing) -> Answer:
        """Sends a request and returns the answer."""
        return (await self.pipeline([request]))[0]

    async def pipeline(self, requests: Sequence[Outgoing]) -> list[Answer]:
        """Sends requests at once and returns the answers in order."""
        answers: list[Answer] = []
        seconds = max(r.deadline_ms for r in requests) / 1000 + _SLACK_SECONDS
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(seconds):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        *self._address
                    )
                reader, writer = self._streams
                for request in requests:
                    self._record.write(
                        "sent",
                        id=request.request_id,
                        method=request.method,
                        target=request.target,
                        size=len(request.body),
                        chunked=request.chunked,
                    )
                writer.write(b"".join(r.encode() for r in requests))
                for request in requests:
                    response = await read_response(reader)
                    if response is None:
                        break
                    answers.append(self._make_answer(request, response))
                    if not response.complete:
                        break
                    if response.headers.get("connection") == "close":
                        break
        if len(answers) < len(requests) or not answers[-1].complete:
            self.close()
        missing = [
            Answer(request.request_id, 0, False, False, b"")
            for request in requests[len(answers) :]
        ]
        answers += missing
        for answer in answers:
            self._record.write(
                "answered",
                id=answer.request_id,
                status=answer.status,
                signed=answer.signed,
                complete=answer.complete,
                size=len(answer.body),
            )
        return answers

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    def _make_answer(self, request: Outgoing, response: Message) -> Answer:
        if response.headers.get("connection") == "close":
            self.close()
        return Answer(
            request.request_id,
            response.status,
            "server-signature" in response.headers,
            response.complete,
            response.body,
        )
