"""A stand-in for an instance that answers uploads early and resets."""

import socket
import struct
from collections.abc import Mapping

import trio

_RECEIVE_BYTES = 1 << 16
_HEAD_END = b"\r\n\r\n"
# Much less than an upload, so that the answer ends while it is being written.
CONTENT = bytes(20_000)
_RESET_AFTER_SECONDS = 0.3
# The heads of the answers to uploads by their form.
HEADS: Mapping[str, bytes] = {
    "no length": b"HTTP/1.1 200 OK\r\n",
    "no length and Connection: close": (
        b"HTTP/1.1 200 OK\r\nconnection: close\r\n"
    ),
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n",
    "a length that is not reached": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 30000\r\n"
    ),
    "chunks without an end": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
    ),
}


class EarlyAnswer:
    """Answers each upload once its head has arrived, and resets later.

    Other requests get a complete response, so that it is healthy.

    Attributes:
        form: The key of `HEADS` whose answer it sends.
        uploads: The number of uploads that it has answered.
    """

    def __init__(self, instance: str) -> None:
        """Creates an instance that has not answered yet.

        Args:
            instance: The id of the instance.
        """
        self.form = "no length"
        self.uploads = 0
        self._instance = instance

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serves a connection until it has answered an upload."""
        received = b""
        while True:
            while _HEAD_END not in received:
                data = await stream.receive_some(_RECEIVE_BYTES)
                if not data:
                    return
                received += data
            head, _, received = received.partition(_HEAD_END)
            fields = dict(
                line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
            )
            own = b"instance-id: %b\r\nrequest-id: %b\r\n" % (
                self._instance.encode(),
                fields.get(b"request-id", b"-"),
            )
            if b"content-length" in fields or b"transfer-encoding" in fields:
                await self._answer_upload(stream, own)
                return
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\n%bserver-load: 0,0,6,100\r\n"
                b"content-length: 2\r\n\r\nok" % own
            )

    async def _answer_upload(
        self, stream: trio.SocketStream, fields: bytes
    ) -> None:
        self.uploads += 1
        content = CONTENT
        if self.form == "chunks without an end":
            content = b"%x\r\n%b\r\n" % (len(CONTENT), CONTENT)
        await stream.send_all(HEADS[self.form] + fields + b"\r\n" + content)
        await trio.sleep(_RESET_AFTER_SECONDS)
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        stream.socket.close()
