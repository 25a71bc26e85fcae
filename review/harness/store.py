"""A stand-in for the platform's store: keyed topics of one partition."""

import asyncio
import base64
import json
import struct
from collections import defaultdict
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from harness.http_message import (
    CONNECTION_ERRORS,
    encode_message,
    read_message,
)
from harness.record import Record

_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
# The store answers in 4 ms (SYSTEM.md).
_ANSWER_SECONDS = 0.004


class StoredRecord(NamedTuple):
    """A record of a topic; an empty value drops the key."""

    key: str
    value: bytes


class Store:
    """Serves `log-append`, `log-newest` and `log-read`.

    It listens at one address for each machine, because connections over
    loopback addresses don't show which machine opened them.

    Attributes:
        rejected: The machines that get 429.
        last_calls: When each machine last called, by its name.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.rejected: frozenset[str] = frozenset()
        self.last_calls: dict[str, float] = {}
        self._topics: defaultdict[str, list[StoredRecord]] = defaultdict(list)
        self._appended = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def listen(self, machine: str, address: str) -> None:
        """Starts to serve one machine."""
        host, _, port = address.rpartition(":")

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(machine, reader, writer)

        self._servers.append(
            await asyncio.start_server(handle, host, int(port))
        )

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record, as the operator does."""
        self._topics[topic].append(StoredRecord(key, value))
        self._appended.set()
        self._appended = asyncio.Event()

    def serve_all(self) -> None:
        """Ends the rejection of machines."""
        self.rejected = frozenset()
        self._record.say("the store serves all machines")

    def close(self) -> None:
        """Stops listening."""
        for server in self._servers:
            server.close()

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                self.last_calls[machine] = self._record.now()
                method, target, _ = request.start
                status, body = await self._respond(
                    machine, method, target, request.body
                )
                writer.write(encode_message(f"HTTP/1.1 {status} -", {}, body))
                await writer.drain()
        except CONNECTION_ERRORS:
            pass
        finally:
            writer.close()

    async def _respond(
        self, machine: str, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        await asyncio.sleep(_ANSWER_SECONDS)
        if machine in self.rejected:
            return 429, b"{}"
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        topic = query["topic"]
        if (method, url.path) == ("POST", "/log-append"):
            return self._append(topic, body)
        if url.path == "/log-newest":
            return self._read_newest(topic)
        status, content = await self._read(
            topic, int(query["from"]), int(query.get("waitMs", "0")) / 1000
        )
        # A read that was held must not tell a machine what happened since it
        # is rejected.
        return (429, b"{}") if machine in self.rejected else (status, content)

    def _append(self, topic: str, body: bytes) -> tuple[int, bytes]:
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        first = len(self._topics[topic])
        position = 0
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            content = body[position : position + length]
            position += length
            key = content[1 : 1 + content[0]].decode()
            self.put(topic, key, content[1 + content[0] :])
        end = len(self._topics[topic])
        return 200, json.dumps({"offset": first, "end": end}).encode()

    def _read_newest(self, topic: str) -> tuple[int, bytes]:
        records = self._topics[topic]
        newest = {record.key: number for number, record in enumerate(records)}
        items = [
            {
                "key": key,
                "value": base64.b64encode(records[number].value).decode(),
                "offset": number,
            }
            for key, number in sorted(newest.items())
            if records[number].value
        ]
        page = {"items": items, "hasMore": False, "end": len(records)}
        return 200, json.dumps(page).encode()

    async def _read(
        self, topic: str, start: int, wait: float
    ) -> tuple[int, bytes]:
        records = self._topics[topic]
        try:
            async with asyncio.timeout(wait):
                while start >= len(records):
                    await self._appended.wait()
        except TimeoutError:
            pass
        data = _OFFSETS.pack(len(records), 0)
        for record in records[start:]:
            key = record.key.encode()
            content = bytes([len(key)]) + key + record.value
            data += _LENGTH.pack(len(content)) + content
        return 200, data
