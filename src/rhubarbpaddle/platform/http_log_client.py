"""The platform's log over HTTP."""

import base64
import json
from datetime import timedelta

import h11
import trio

from rhubarbpaddle.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RhubarbpaddleError,
)
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.network import Network
from rhubarbpaddle.platform.batch import Batch
from rhubarbpaddle.platform.record import Record

_GRACE_SECONDS = 2.0
_APPEND_SECONDS = 3.0


class HttpLogClient:
    """Speaks `POST /streams/NAME` and `GET /streams/NAME` with the log."""

    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record."""
        sent = False
        with trio.move_on_after(_APPEND_SECONDS):
            conn = await self._connect("append")
            try:
                sent = True
                answer = await self._request(
                    conn, "POST", f"/streams/{stream}", payload
                )
                offset: int = json.loads(answer)["offset"]
                return offset
            except (RhubarbpaddleError, ValueError, KeyError) as exc:
                raise AppendUnknownError(
                    str(exc), step="append", peer=self._address
                ) from exc
            finally:
                await conn.aclose()
        error = AppendUnknownError if sent else LogUnavailableError
        raise error("no answer in time", step="append", peer=self._address)

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> Batch:
        """Reads records."""
        wait_ms = wait // timedelta(milliseconds=1)
        target = (
            f"/streams/{stream}?from={start}&limit={limit}&wait_ms={wait_ms}"
        )
        with trio.move_on_after(wait.total_seconds() + _GRACE_SECONDS):
            conn = await self._connect("read")
            try:
                answer = await self._request(conn, "GET", target, b"")
                return _parse_batch(json.loads(answer))
            except (RhubarbpaddleError, ValueError, KeyError) as exc:
                raise LogUnavailableError(
                    str(exc), step="read", peer=self._address
                ) from exc
            finally:
                await conn.aclose()
        raise LogUnavailableError(
            "no answer in time", step="read", peer=self._address
        )

    async def _connect(self, step: str) -> ClientConnection:
        try:
            stream = await self._network.connect(self._address)
        except OSError as exc:
            raise LogUnavailableError(
                str(exc), step=step, peer=self._address
            ) from exc
        return ClientConnection(stream, self._address)

    async def _request(
        self, conn: ClientConnection, method: str, target: str, payload: bytes
    ) -> bytes:
        head = h11.Request(
            method=method,
            target=target,
            headers=[
                ("host", self._address),
                ("content-length", str(len(payload))),
            ],
        )
        await conn.send_request(head, BytesBody(payload))
        response, body = await conn.receive_response()
        content = bytearray()
        while part := await body.receive():
            content += part
        if response.status_code != 200:
            raise LogUnavailableError(
                f"the log answered {response.status_code}",
                step=method.lower(),
                peer=self._address,
            )
        return bytes(content)


def _parse_batch(document: dict[str, object]) -> Batch:
    records = document["records"]
    assert isinstance(records, list)
    return Batch(
        first_offset=int(str(document["first_offset"])),
        end_offset=int(str(document["end_offset"])),
        records=tuple(
            Record(record["offset"], base64.b64decode(record["payload"]))
            for record in records
        ),
    )
