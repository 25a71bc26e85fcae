"""A stand-in for an upstream."""

import json
import os
from collections import Counter

import h11
import trio

from standins.http_server import StandinRequest, StandinResponse

_RENEWAL_SECONDS = 0.4


class Upstream:
    """Answers requests after some time of work.

    Attributes:
        runs: How often each request ran, by method and target.
        state: What the upstream announces: `cold`, `warm` or `leaving`.
        response_bytes: Bytes that fill each answer.
    """

    def __init__(
        self, service: str, instance: str, slots: int, work_seconds: float
    ) -> None:
        self.service = service
        self.instance = instance
        self.runs: Counter[str] = Counter()
        self.state = "warm"
        self.response_bytes = 0
        self._slots = trio.CapacityLimiter(slots)
        self._work_seconds = work_seconds

    async def handle(self, request: StandinRequest) -> StandinResponse:
        """Answers one request."""
        match request.target:
            case "/health":
                return StandinResponse(200, b"ok\n")
            case "/load":
                return _to_response({"in_flight": self._slots.borrowed_tokens})
            case "/runs":
                return _to_response(dict(self.runs))
            case "/leave":
                self.state = "leaving"
                return StandinResponse(200, b"ok\n")
        if request.target.startswith("/crash"):
            os._exit(1)
        async with self._slots:
            self.runs[f"{request.method} {request.target}"] += 1
            await trio.sleep(self._work_seconds)
        document = {
            "service": self.service,
            "instance": self.instance,
            "method": request.method,
            "target": request.target,
            "body_bytes": len(request.body),
            "filling": "." * self.response_bytes,
        }
        return _to_response(document)

    async def announce(self, admin_address: str, address: str) -> None:
        """Announces this upstream to the node beside it until cancelled."""
        host, _, port = admin_address.rpartition(":")
        incarnation = int(trio.current_time() * 1000)
        while True:
            document = {
                "service": self.service,
                "instance": self.instance,
                "address": address,
                "incarnation": incarnation,
                "state": self.state,
            }
            content = json.dumps(document).encode()
            with trio.move_on_after(1.0):
                try:
                    async with await trio.open_tcp_stream(
                        host, int(port)
                    ) as stream:
                        await _post(stream, admin_address, content)
                except OSError:
                    pass
            await trio.sleep(_RENEWAL_SECONDS)


async def _post(
    stream: trio.SocketStream, admin_address: str, content: bytes
) -> None:
    conn = h11.Connection(h11.CLIENT)
    head = h11.Request(
        method="POST",
        target="/announcements",
        headers=[
            ("host", admin_address),
            ("content-length", str(len(content))),
        ],
    )
    events = (head, h11.Data(data=content), h11.EndOfMessage())
    await stream.send_all(b"".join(conn.send(e) or b"" for e in events))
    await stream.receive_some()


def _to_response(document: object) -> StandinResponse:
    return StandinResponse(
        200,
        json.dumps(document).encode() + b"\n",
        (("content-type", "application/json"),),
    )
