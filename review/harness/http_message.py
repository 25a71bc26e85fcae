"""HTTP/1.1 messages as the stand-ins read and write them."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

_MAX_LINE_BYTES = 1 << 16
# What a connection that has ended, or is no longer readable, raises.
CONNECTION_ERRORS = (OSError, EOFError, ValueError)


class HttpMessage(NamedTuple):
    """A request or a response.

    Attributes:
        start: The words of the first line.
        headers: The headers, names in lower case.
        body: The whole body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Returns the next message, or None if the connection has ended."""
    head = await reader.readuntil(b"\r\n\r\n") if not reader.at_eof() else b""
    if not head:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return HttpMessage(first.split(" ", 2), headers, body)


def encode_message(
    start: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    chunked: bool = False,
) -> bytes:
    """Returns the bytes of a message.

    Args:
        start: The first line.
        headers: The headers, without those of the body's length.
        body: The body.
        chunked: Whether the body is sent in one chunk, and not with a length.
    """
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def exchange(
    address: str,
    start: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    seconds: float = 1.0,
    chunked: bool = False,
) -> HttpMessage | None:
    """Sends one request on a new connection; returns None without an answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_message(start, headers, body, chunked))
            await writer.drain()
            return await read_message(reader)
    except (TimeoutError, *CONNECTION_ERRORS):
        return None
    finally:
        if writer is not None:
            writer.close()


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return bytes(body)
