"""A stand-in for the platform's store: keyed topics of one partition."""

import asyncio
import base64
import contextlib
import json
import struct
from urllib.parse import parse_qs, urlsplit

from harness2.http_wire import Message, encode_response, read_request

_ANSWER_SECONDS = 0.004


class Store:
    """Serves appends, long polls and the newest record of each key."""

    def __init__(self) -> None:
        """Creates a store without records."""
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record."""
        self._topics.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await read_request(reader):
                await asyncio.sleep(_ANSWER_SECONDS)
                writer.write(await self._respond(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _respond(self, request: Message) -> bytes:
        method, target, _ = request.start.split(" ")
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        records = self._topics.get(topic, [])
        if (method, url.path) == ("POST", "/log-append"):
            return self._append(topic, query, request.body)
        if (method, url.path) == ("GET", "/log-newest"):
            newest = {
                key: (value, offset)
                for offset, (key, value) in enumerate(records)
            }
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (value, offset) in sorted(newest.items())
                if value and key > query.get("after", "")
            ]
            document = {"items": items, "hasMore": False, "end": len(records)}
            return encode_response(200, [], json.dumps(document).encode())
        if (method, url.path) == ("GET", "/log-read"):
            return await self._read(topic, query)
        return encode_response(404, [], b"{}")

    def _append(self, topic: str, query: dict[str, str], body: bytes) -> bytes:
        first = len(self._topics.get(topic, []))
        if int(query.get("at", first)) != first:
            document = json.dumps({"end": first})
            return encode_response(412, [], document.encode())
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            key = content[1 : 1 + content[0]].decode()
            self.put(topic, key, content[1 + content[0] :])
        end = len(self._topics.get(topic, []))
        document = json.dumps({"offset": first, "end": end})
        return encode_response(200, [], document.encode())

    async def _read(self, topic: str, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        if start >= len(self._topics.get(topic, [])):
            changed = self._changed
            wait = int(query.get("waitMs", "0")) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), max(wait, 0.001))
        records = self._topics.get(topic, [])
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            encoded = key.encode()
            content = bytes([len(encoded)]) + encoded + value
            data += struct.pack(">I", len(content)) + content
        return encode_response(200, [], data)
