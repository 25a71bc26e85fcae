"""The requests of others, whose failures and times are measured."""

import itertools

import h11
import trio

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.tcp_network import TcpNetwork
from soak.configuration_history import make_key
from soak.host import SoakHost

ORGANISATIONS = ("amber", "birch")
_TIMEOUT_SECONDS = 2.0


class OtherRequests:
    """Sends requests at a steady rate, each on a new connection.

    Attributes:
        seconds: The time of each successful request.
        failed: The number of requests that got no response with status 200.
    """

    def __init__(self, host: SoakHost, label: str) -> None:
        """Creates a sender.

        Args:
            host: The host whose node gets the requests.
            label: The prefix of the request ids.
        """
        self._host = host
        self._ids = (f"{label}-{number}" for number in itertools.count())
        self._organisations = itertools.cycle(ORGANISATIONS)
        self.seconds: list[float] = []
        self.failed = 0

    async def run(self, rate: float, duration: float) -> None:
        """Sends requests.

        Args:
            rate: Requests per second.
            duration: For how long, in seconds.
        """
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for index in range(int(rate * duration)):
                due = started + index / rate
                await trio.sleep(max(0.0, due - trio.current_time()))
                nursery.start_soon(self._measure)

    async def _measure(self) -> None:
        started = trio.current_time()
        status = 0
        with trio.move_on_after(_TIMEOUT_SECONDS):
            try:
                status = await self._send()
            except (OSError, RhubarbpaddleError):
                status = 0
        if status == 200:
            self.seconds.append(trio.current_time() - started)
        else:
            self.failed += 1

    async def _send(self) -> int:
        address = self._host.caller_address
        conn = ClientConnection(await TcpNetwork().connect(address), address)
        key = make_key(next(self._organisations))
        head = h11.Request(
            method="GET",
            target="/lanes/x",
            headers=[
                ("host", "club.example"),
                ("authorization", f"Token {key}"),
                ("request-id", next(self._ids)),
                ("deadline-ms", "1000"),
            ],
        )
        try:
            await conn.send_request(head, BytesBody(b""))
            response, body = await conn.receive_response()
            while await body.receive():
                pass
            return int(response.status_code)
        finally:
            await conn.aclose()
