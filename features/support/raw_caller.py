"""A caller that sends raw bytes and parses responses with h11."""

from typing import NamedTuple, Self

import h11
import trio

from features.support.memory_fabric import MemoryFabric


class RawResponse(NamedTuple):
    """A response as the caller received it.

    Attributes:
        status: The status code.
        headers: The headers, names in lower case.
        body: The received body.
        interim: The status codes of the interim responses before it.
        complete: Whether the response was received to its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    interim: list[int]
    complete: bool


class RawCaller:
    """Sends requests and receives responses over one connection."""

    def __init__(self, stream: trio.abc.HalfCloseableStream) -> None:
        self.stream = stream
        self._h11 = h11.Connection(h11.CLIENT)

    @classmethod
    async def connect(cls, fabric: MemoryFabric, node: str) -> Self:
        return cls(await fabric.connect("caller", f"{node}:1"))

    async def send(self, data: bytes) -> None:
        await self.stream.send_all(data)

    async def receive(self) -> RawResponse | None:
        """Returns the next response, or None if the connection ended."""
        if self._h11.our_state is h11.MUST_CLOSE:
            data = await self.stream.receive_some()
            assert not data, data
            return None
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        self._h11.send(h11.Request(method="GET", target="/", headers=_HOST))
        self._h11.send(h11.EndOfMessage())
        head: h11.Response | None = None
        interim: list[int] = []
        body = bytearray()
        complete = False
        while not complete:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                interim.append(event.status_code)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                complete = True
            else:
                break
        if head is None:
            return None
        headers = {k.decode(): v.decode() for k, v in head.headers}
        return RawResponse(
            head.status_code, headers, bytes(body), interim, complete
        )

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self.stream.receive_some()
            except (h11.RemoteProtocolError, trio.BrokenResourceError):
                return None
            self._h11.receive_data(bytes(data))


_HOST = [("host", "test")]
