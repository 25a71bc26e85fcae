"""A caller that costs as little as possible."""

import re
import socket
import time
from typing import Self

_LENGTH = re.compile(rb"\r\ncontent-length: (\d+)\r\n", re.IGNORECASE)
_TIMEOUT_SECONDS = 10.0
_RECEIVE_BYTES = 1 << 16


class RawClient:
    """Sends the same request over one kept connection."""

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
        """Runs one request and returns its seconds."""
        started = time.perf_counter()
        self.send()
        while not self.receive():
            pass
        return time.perf_counter() - started

    def send(self) -> None:
        """Sends the request."""
        self.socket.sendall(self._request)

    def receive(self) -> bool:
        """Reads once and returns whether the answer is complete.

        Raises:
            ConnectionError: The answer is not a 200 or the connection ended.
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
            raise ConnectionError(f"unexpected answer: {self._received!r}")
        if len(body) < int(length.group(1)):
            return False
        self._received = b""
        return True
