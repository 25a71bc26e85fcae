"""Reading and writing of HTTP/1.1 messages."""

import asyncio
from typing import NamedTuple

_CHUNK_BYTES = 8192


class HttpMessage(NamedTuple):
    """A request or a response.

    Attributes:
        start: The words of the first line.
        headers: The headers by their names in lower case.
        body: The body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> HttpMessage:
    """Reads a head.

    Raises:
        EOFError: The connection ended.
        OSError: The connection was reset.
    """
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    pairs = [line.split(":", 1) for line in lines[1:]]
    headers = {name.lower(): value.strip() for name, value in pairs}
    return HttpMessage(lines[0].split(" ", 2), headers, b"")


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Reads a head and a body, which has a length or comes in chunks.

    Raises:
        EOFError: The connection ended before the end of the message.
        OSError: The connection was reset.
    """
    head = await read_head(reader)
    body = b""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    elif length := int(head.headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    return head._replace(body=body)


def make_message(
    start: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns the bytes of a message whose body has a length."""
    lines = [start, *(f"{key}: {value}" for key, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def make_chunked_message(
    start: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Returns the bytes of a message whose body comes in chunks."""
    lines = [start, *(f"{key}: {value}" for key, value in headers.items())]
    lines.append("Transfer-Encoding: chunked")
    head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
    parts = [
        body[at : at + _CHUNK_BYTES] for at in range(0, len(body), _CHUNK_BYTES)
    ]
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
    return head + b"".join(chunks) + b"0\r\n\r\n"
