"""A caller that reuses its connection until the node closes it."""

import contextlib
import itertools
import random
from collections.abc import Iterator

import h11
import trio

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.tcp_network import TcpNetwork
from soak.configuration_history import (
    PERMANENT_PREFIX,
    ConfigurationHistory,
    make_key,
)
from soak.key_chooser import KeyChooser
from soak.key_state import KeyState
from soak.large_content import make_large_target
from soak.pipelined_exchange import send_pipelined
from soak.pipelined_response import PipelinedResponse
from soak.records import SentRequest

DEADLINE_SECONDS = 1.5
# How long after the deadline the caller still waits for the response before it
# closes the connection.
TIMEOUT_SLACK_SECONDS = 1.0
_MEAN_PAUSE_SECONDS = 0.08
_CONNECT_TIMEOUT_SECONDS = 1.0
# The share of requests whose caller closes its connection without waiting for
# the response.
_ABANDON_PROBABILITY = 0.1
_MAX_ABANDON_SECONDS = 0.2
# The share of idempotent requests that have a body, which is sent in chunks.
_BODY_PROBABILITY = 0.3
_MAX_BODY_BYTES = 100_000
# The share of requests for a large response.
_LARGE_PROBABILITY = 0.08
_MIN_LARGE_BYTES = 90_000
_MAX_LARGE_BYTES = 540_000
# How often several idempotent requests are sent at once.
_PIPELINE_PROBABILITY = 0.05
_MAX_PIPELINED = 5


class Caller:
    """Sends requests to one node, one after another."""

    def __init__(
        self,
        name: str,
        host: str,
        address: str,
        organisation: str,
        configurations: ConfigurationHistory,
        sent: list[SentRequest],
        rng: random.Random,
    ) -> None:
        """Creates a caller without a connection.

        Args:
            name: The prefix of the ids of its requests.
            host: The node's host.
            address: The node's `IP:PORT` for callers.
            organisation: The organisation that it belongs to.
            configurations: The configurations that operators published.
            sent: The list to which it appends its requests.
            rng: The random number generator.
        """
        self._ids = self._iter_ids(name)
        self._host = host
        self._address = address
        self._organisation = organisation
        self._configurations = configurations
        self._sent = sent
        self._rng = rng
        # A separate generator, so that seeds that failed before this choice was
        # added keep their other choices.
        self._abandon_rng = random.Random(name)
        self._body_rng = random.Random(f"body-{name}")
        self._keys = KeyChooser(
            organisation, configurations, random.Random(f"key-{name}")
        )
        self._large_rng = random.Random(f"large-{name}")
        self._pipeline_rng = random.Random(f"pipeline-{name}")
        self._conn: ClientConnection | None = None

    async def run(
        self, stopped: trio.Event, pause: float = _MEAN_PAUSE_SECONDS
    ) -> None:
        """Sends requests until stopped, and completes the one in progress.

        Args:
            stopped: Ends it.
            pause: The mean time between requests, in seconds.
        """
        while not stopped.is_set():
            key_state = self._keys.choose_state()
            await self.send(self._choose_timeout(), key_state)
            if self._pipeline_rng.random() < _PIPELINE_PROBABILITY:
                await self.send_pipelined()
            await trio.sleep(self._rng.uniform(0, 2 * pause))

    def _choose_timeout(self) -> float:
        if self._abandon_rng.random() < _ABANDON_PROBABILITY:
            return self._abandon_rng.uniform(0, _MAX_ABANDON_SECONDS)
        return DEADLINE_SECONDS + TIMEOUT_SLACK_SECONDS

    async def send(
        self,
        timeout: float = DEADLINE_SECONDS + TIMEOUT_SLACK_SECONDS,
        key_state: KeyState = KeyState.KNOWN,
    ) -> SentRequest | None:
        """Sends one request; returns None if it could not connect.

        Args:
            timeout: Seconds after which the caller closes its connection.
            key_state: The state of its key. If no key has been withdrawn, it is
                sent with a known one.
        """
        conn = self._conn or await self._connect()
        if conn is None:
            return None
        self._conn = conn
        uses_newest_path = self._rng.random() < 0.5
        started_at = trio.current_time()
        prefix = (
            self._configurations.get_newest_prefix(started_at)
            if uses_newest_path
            else PERMANENT_PREFIX
        )
        key, key_state = self._keys.choose(
            key_state, uses_newest_path, started_at
        )
        large_length = self._choose_large_length()
        idempotent = self._rng.random() < 0.5 or large_length > 0
        request_id = next(self._ids)
        has_body = idempotent and not large_length
        request_body = self._make_body() if has_body else b""
        status, body, is_signed = 0, b"", False
        with trio.move_on_after(timeout) as scope:
            try:
                head = self._make_head(
                    request_id,
                    prefix,
                    key,
                    idempotent,
                    bool(request_body),
                    large_length,
                )
                await conn.send_request(head, BytesBody(request_body))
                response, response_body = await conn.receive_response()
                while chunk := await response_body.receive():
                    body += chunk
                status = response.status_code
                header_names = {name for name, _ in response.headers}
                is_signed = b"server-signature" in header_names
            except RhubarbpaddleError:
                status = 0
        request = SentRequest(
            request_id,
            self._host,
            idempotent,
            uses_newest_path,
            started_at,
            trio.current_time(),
            status,
            body,
            is_signed,
            scope.cancelled_caught and timeout < DEADLINE_SECONDS,
            request_body,
            self._organisation,
            key_state,
            large_length,
        )
        self._sent.append(request)
        if status == 0 or not conn.is_reusable():
            await conn.aclose()
            self._conn = None
        else:
            conn.h11.start_next_cycle()
        return request

    async def send_pipelined(self) -> None:
        """Sends idempotent requests at once, on a connection of their own."""
        conn = await self._connect()
        if conn is None:
            return
        ids_and_lengths = [
            (next(self._ids), self._choose_large_length())
            for _ in range(self._pipeline_rng.randint(2, _MAX_PIPELINED))
        ]
        key = make_key(self._organisation)
        heads = [
            self._make_head(
                request_id, PERMANENT_PREFIX, key, True, False, length
            )
            for request_id, length in ids_and_lengths
        ]
        started_at = trio.current_time()
        responses: list[PipelinedResponse] = []
        with trio.move_on_after(DEADLINE_SECONDS + TIMEOUT_SLACK_SECONDS):
            # The requests without a response are recorded below.
            with contextlib.suppress(RhubarbpaddleError):
                await send_pipelined(conn, heads, responses)
        await conn.aclose()
        is_ended = bool(responses) and responses[-1].ends_connection
        missing = PipelinedResponse(
            0, b"", False, is_ended, trio.current_time()
        )
        self._sent += [
            SentRequest(
                request_id,
                self._host,
                idempotent=True,
                uses_newest_path=False,
                sent_at=started_at,
                ended_at=response.ended_at,
                status=response.status,
                body=response.body,
                is_signed=response.is_signed,
                # Requests behind a response that ends the connection count as
                # not read, although they may have run.
                is_abandoned=response.status == 0 and is_ended,
                organisation=self._organisation,
                large_length=length,
                is_pipelined=True,
            )
            for (request_id, length), response in itertools.zip_longest(
                ids_and_lengths, responses, fillvalue=missing
            )
        ]

    def _choose_large_length(self) -> int:
        if self._large_rng.random() >= _LARGE_PROBABILITY:
            return 0
        return self._large_rng.randint(_MIN_LARGE_BYTES, _MAX_LARGE_BYTES)

    def _make_body(self) -> bytes:
        if self._body_rng.random() >= _BODY_PROBABILITY:
            return b""
        # Many short ones, and some that are too long to be sent again.
        size = int(_MAX_BODY_BYTES ** self._body_rng.random())
        return self._body_rng.randbytes(size)

    def _make_head(
        self,
        request_id: str,
        prefix: str,
        key: str,
        idempotent: bool,
        has_body: bool,
        large_length: int,
    ) -> h11.Request:
        host = "club.example" if idempotent else "desk.example"
        target = f"{prefix}x"
        if large_length:
            host = "archive.example"
            target = make_large_target(prefix, large_length)
        method = "PUT" if has_body else "GET"
        framing = (
            ("transfer-encoding", "chunked")
            if has_body
            else ("content-length", "0")
        )
        return h11.Request(
            method=method if idempotent else "POST",
            target=target,
            headers=[
                ("host", host),
                ("authorization", f"Token {key}"),
                ("request-id", request_id),
                ("deadline-ms", str(int(DEADLINE_SECONDS * 1000))),
                framing,
            ],
        )

    async def _connect(self) -> ClientConnection | None:
        with trio.move_on_after(_CONNECT_TIMEOUT_SECONDS):
            try:
                stream = await TcpNetwork().connect(self._address)
            except OSError:
                return None
            return ClientConnection(stream, self._address)
        return None

    def _iter_ids(self, name: str) -> Iterator[str]:
        return (f"{name}-{number}" for number in itertools.count())
