"""Connections to a listener that needs no handshake."""

from typing import NamedTuple

import trio


class PortOpening(NamedTuple):
    """Opens connections to a port, and writes bytes first."""

    port: int
    first: bytes = b""

    async def open(self, ip: str, number: int) -> trio.abc.Stream:
        stream = await trio.open_tcp_stream(ip, self.port)
        await stream.send_all(self.first)
        return stream
