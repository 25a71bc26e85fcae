"""Minimal HTTP/1.1 reading and writing over asyncio streams."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response.

    Attributes:
        start: The start line.
        headers: The headers, names in lower case; the first of each name.
        body: The body.
        complete: Whether the body arrived to its end.
        framed: Whether the body had a length or came in chunks.
    """

    start: str
    headers: dict[str, str]
    body: bytes
    complete: bool = True
    framed: bool = True

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start.split(" ", 2)[1])


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Returns the start line and the headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], has_default: bool
) -> tuple[bytes, bool, bool]:
    """Reads a body.

    Args:
        reader: The connection.
        headers: The headers of the message.
        has_default: Whether a message without a length has no body (as a
            request), rather than one up to the end of the connection.

    Returns:
        The body, whether it is complete, and whether it was framed.
    """
    content = bytearray()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                if size == 0:
                    while await reader.readuntil(b"\r\n") != b"\r\n":
                        pass
                    return bytes(content), True, True
                content += await reader.readexactly(size)
                await reader.readexactly(2)
        if "content-length" in headers:
            length = int(headers["content-length"])
            while len(content) < length:
                part = await reader.read(min(65536, length - len(content)))
                if not part:
                    return bytes(content), False, True
                content += part
            return bytes(content), True, True
        if has_default:
            return b"", True, True
        while part := await reader.read(65536):
            content += part
    except (asyncio.IncompleteReadError, ConnectionError):
        return bytes(content), False, True
    return bytes(content), True, False


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next request of a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    body, complete, framed = await read_body(reader, headers, True)
    return Message(start, headers, body, complete, framed)


async def read_response(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next response of a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    body, complete, framed = await read_body(reader, headers, False)
    return Message(start, headers, body, complete, framed)


def encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
