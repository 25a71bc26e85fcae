"""A TCP stream with a fast path for operations that do not block."""

import os

import trio

_DEFAULT_RECEIVE_BYTES = 1 << 16


class TcpStream(trio.abc.HalfCloseableStream):
    """Tries non-blocking system calls before trio's methods.

    `SocketStream.send_all` lets all other tasks run before it returns. The
    data path waits for a response right after almost every send, so the extra
    checkpoint only adds latency. A loop over `send_all` still lets other tasks
    run, because the reads that supply its data do.

    The kernel reports a reset once, to whichever system call comes first, and
    an end of the stream to later reads. A stream that failed to send therefore
    has no valid end: what was received may be incomplete.

    Attributes:
        socket: The trio socket.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.socket = stream.socket
        self._stream = stream
        self._failed_to_send = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends all bytes.

        Raises:
            trio.BrokenResourceError: The connection is broken.
            trio.ClosedResourceError: This side has closed it.
        """
        descriptor = self.socket.fileno()
        if descriptor < 0 or self.socket.did_shutdown_SHUT_WR or not data:
            await self._stream.send_all(data)
            return
        await trio.lowlevel.checkpoint_if_cancelled()
        sent = self._write(descriptor, data)
        # Trio's method runs other tasks before it raises an error, so that one
        # of them could read the end of the stream meanwhile.
        while sent < len(data):
            # Raises ClosedResourceError if another task closes the stream.
            await trio.lowlevel.wait_writable(descriptor)
            sent += self._write(descriptor, memoryview(data)[sent:])

    def try_send(self, data: bytes) -> bool:
        """Sends a few bytes without waiting; see `Network.try_send`."""
        descriptor = self.socket.fileno()
        if descriptor < 0:
            return False
        try:
            sent = self._write(descriptor, data)
        except trio.BrokenResourceError:
            return False
        return sent in (0, len(data))

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Returns the next bytes, or an empty result at the end of the stream.

        Raises:
            trio.BrokenResourceError: The connection is broken, or the end of
                the stream follows a failure to send.
            trio.ClosedResourceError: This side has closed it.
        """
        descriptor = self.socket.fileno()
        if descriptor < 0:
            raise trio.ClosedResourceError
        limit = max_bytes or _DEFAULT_RECEIVE_BYTES
        await trio.lowlevel.checkpoint_if_cancelled()
        try:
            data = self._read(descriptor, limit)
        except BlockingIOError:
            pass
        else:
            await trio.lowlevel.cancel_shielded_checkpoint()
            return data
        while True:
            # Raises ClosedResourceError if another task closes the stream.
            await trio.lowlevel.wait_readable(descriptor)
            try:
                return self._read(descriptor, limit)
            except BlockingIOError:
                continue

    async def wait_send_all_might_not_block(self) -> None:
        """Waits until `send_all` might not block."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Closes the sending direction."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()

    def _write(
        self, descriptor: int, data: bytes | bytearray | memoryview
    ) -> int:
        """Returns how many bytes were written, 0 if the socket is full.

        Raises:
            trio.BrokenResourceError: The connection is broken.
        """
        try:
            return os.write(descriptor, data)
        except BlockingIOError:
            return 0
        except OSError as exc:
            self._failed_to_send = True
            raise trio.BrokenResourceError from exc

    def _read(self, descriptor: int, limit: int) -> bytes:
        """Reads what has arrived.

        Raises:
            BlockingIOError: Nothing has.
            trio.BrokenResourceError: The connection is broken.
        """
        try:
            data = os.read(descriptor, limit)
        except BlockingIOError:
            raise
        except OSError as exc:
            raise trio.BrokenResourceError from exc
        if not data and self._failed_to_send:
            raise trio.BrokenResourceError
        return data
