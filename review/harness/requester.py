"""Requesters of one machine."""

import asyncio
import itertools
from typing import NamedTuple

from harness.http_message import HttpMessage, exchange
from harness.record import Record


class Answer(NamedTuple):
    """What a requester got.

    Attributes:
        request_id: The id of the request.
        sent_at: When it was sent, in seconds of the record.
        status: The status, or 0 without an answer.
        signed: Whether the answer is an instance's.
    """

    request_id: str
    sent_at: float
    status: int
    signed: bool


class Requester:
    """Sends requests to the node of its machine, each on a new connection."""

    def __init__(self, name: str, address: str, record: Record) -> None:
        self._name = name
        self._address = address
        self._record = record
        self._numbers = itertools.count()
        self.answers: list[Answer] = []

    async def send(
        self,
        path: str,
        method: str = "GET",
        host: str = "club.example",
        deadline_ms: int = 1000,
        body: bytes = b"",
        chunked: bool = False,
    ) -> Answer:
        """Sends one request and waits for its answer."""
        request_id = f"{self._name}-{next(self._numbers)}"
        sent_at = self._record.now()
        self._record.add(
            f"sent {request_id} {method} {host}{path} body={len(body)}"
        )
        headers = {
            "Host": host,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        start = f"{method} {path} HTTP/1.1"
        message = await exchange(
            self._address,
            start,
            headers,
            body,
            deadline_ms / 1000 + 0.5,
            chunked,
        )
        answer = _make_answer(request_id, sent_at, message)
        self.answers.append(answer)
        self._record.add(
            f"answered {request_id} {answer.status} signed={answer.signed}"
        )
        return answer

    async def send_regularly(
        self,
        path: str,
        per_second: float,
        method: str = "GET",
        body: bytes = b"",
        chunked: bool = False,
    ) -> None:
        """Sends requests at a rate, answered or not, until cancelled."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as tasks:
            due = loop.time()
            while True:
                tasks.create_task(
                    self.send(path, method, body=body, chunked=chunked)
                )
                due += 1 / per_second
                await asyncio.sleep(max(0.0, due - loop.time()))


def _make_answer(
    request_id: str, sent_at: float, message: HttpMessage | None
) -> Answer:
    if message is None:
        return Answer(request_id, sent_at, 0, False)
    signed = "server-signature" in message.headers
    return Answer(request_id, sent_at, int(message.start[1]), signed)
