"""A caller that keeps its connection until the node closes it."""

import itertools
import random
from collections.abc import Callable, Iterator

import h11
import trio

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.tcp_network import TcpNetwork
from soak.records import SentRequest

DEADLINE_SECONDS = 1.5
# How much later than its deadline an answer may come before the caller gives
# the connection up.
PATIENCE_SECONDS = 1.0
_PAUSE_SECONDS = 0.08
_CONNECT_SECONDS = 1.0
# Some callers close their connection before the answer.
_LEAVING_SHARE = 0.1
_LEAVE_WITHIN_SECONDS = 0.2


class Caller:
    """Sends requests to one node, one after another."""

    def __init__(
        self,
        name: str,
        host: str,
        address: str,
        get_prefixes: Callable[[], tuple[str, str]],
        sent: list[SentRequest],
        rng: random.Random,
    ) -> None:
        """Makes a caller.

        Args:
            name: Begins the ids of its requests.
            host: The node's host.
            address: The node's `IP:PORT` for callers.
            get_prefixes: Returns the prefix of each configuration, and that
                of the newest which must be in force.
            sent: Where it notes its requests.
            rng: The source of chance.
        """
        self._ids = self._count_ids(name)
        self._host = host
        self._address = address
        self._get_prefixes = get_prefixes
        self._sent = sent
        self._rng = rng
        # Apart from the rest, so that seeds that have failed stay as they were.
        self._leaving_rng = random.Random(name)
        self._conn: ClientConnection | None = None

    async def run(self, stopped: trio.Event) -> None:
        """Sends requests until it is stopped; the last one is ended."""
        while not stopped.is_set():
            await self.send(self._choose_patience())
            await trio.sleep(self._rng.uniform(0, 2 * _PAUSE_SECONDS))

    def _choose_patience(self) -> float:
        if self._leaving_rng.random() < _LEAVING_SHARE:
            return self._leaving_rng.uniform(0, _LEAVE_WITHIN_SECONDS)
        return DEADLINE_SECONDS + PATIENCE_SECONDS

    async def send(
        self, patience: float = DEADLINE_SECONDS + PATIENCE_SECONDS
    ) -> SentRequest | None:
        """Sends one request; returns None if there was no connection.

        Args:
            patience: Seconds after which the caller leaves.
        """
        conn = self._conn or await self._connect()
        if conn is None:
            return None
        self._conn = conn
        lasting, newest = self._get_prefixes()
        is_current = self._rng.random() < 0.5
        prefix = newest if is_current else lasting
        idempotent = self._rng.random() < 0.5
        request_id = next(self._ids)
        started = trio.current_time()
        status, body, signed = 0, b"", False
        with trio.move_on_after(patience) as waiting:
            try:
                head = self._make_head(request_id, prefix, idempotent)
                await conn.send_request(head, BytesBody(b""))
                response, content = await conn.receive_response()
                while part := await content.receive():
                    body += part
                status = response.status_code
                names = {name for name, _ in response.headers}
                signed = b"server-signature" in names
            except RhubarbpaddleError:
                status = 0
        request = SentRequest(
            request_id,
            self._host,
            idempotent,
            is_current,
            started,
            trio.current_time(),
            status,
            body,
            signed,
            waiting.cancelled_caught and patience < DEADLINE_SECONDS,
        )
        self._sent.append(request)
        if status == 0 or not conn.is_reusable():
            await conn.aclose()
            self._conn = None
        else:
            conn.h11.start_next_cycle()
        return request

    def _make_head(
        self, request_id: str, prefix: str, idempotent: bool
    ) -> h11.Request:
        host = "club.example" if idempotent else "desk.example"
        return h11.Request(
            method="GET" if idempotent else "POST",
            target=f"{prefix}x",
            headers=[
                ("host", host),
                ("request-id", request_id),
                ("deadline-ms", str(int(DEADLINE_SECONDS * 1000))),
                ("content-length", "0"),
            ],
        )

    async def _connect(self) -> ClientConnection | None:
        with trio.move_on_after(_CONNECT_SECONDS):
            try:
                stream = await TcpNetwork().connect(self._address)
            except OSError:
                return None
            return ClientConnection(stream, self._address)
        return None

    def _count_ids(self, name: str) -> Iterator[str]:
        return (f"{name}-{number}" for number in itertools.count())
