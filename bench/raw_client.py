"""An HTTP client with as little overhead as possible."""

import re
import socket
import time
from typing import Self

_LENGTH = re.compile(rb"\r\ncontent-length: (\d+)\r\n", re.IGNORECASE)
_TIMEOUT_SECONDS = 10.0
_RECEIVE_BYTES = 1 << 16


class RawClient:
    """Sends the same request repeatedly over one connection."""

    def __init__(self, address: str, service: str) -> None:
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection(
            (host, int(port)), _TIMEOUT_SECONDS
        )
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._request = (
            f"GET /availability HTTP/1.1\r\nHost: {service}\r\n\r\n".encode()
        )
        self._received = b""

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.socket.close()

    def measure(self) -> float:
        """Sends a request and returns the seconds until its response."""
        started = time.perf_counter()
        self.send()
        while not self.receive():
            pass
        return time.perf_counter() - started

    def send(self) -> None:
        """Sends the request."""
        self.socket.sendall(self._request)

    def receive(self) -> bool:
        """Reads once and returns whether the response is complete.

        Raises:
            ConnectionError: The status is not 200, or the connection ended.
        """
        data = self.socket.recv(_RECEIVE_BYTES)
        if not data:
            raise ConnectionError("connection ended")
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator:
            return False
        length = _LENGTH.search(head + b"\r\n")
        if not head.startswith(b"HTTP/1.1 200") or length is None:
            raise ConnectionError(f"unexpected response: {self._received!r}")
        if len(body) < int(length.group(1)):
            return False
        self._received = b""
        return True
