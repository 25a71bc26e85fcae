"""A stream that returns prepared bytes."""

import trio


class MemorySource(trio.abc.Stream):
    """Returns prepared bytes without a wait, and drops what is written."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        part, self._data = self._data[:max_bytes], self._data[max_bytes:]
        return part

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        pass

    async def wait_send_all_might_not_block(self) -> None:
        pass

    async def aclose(self) -> None:
        pass
