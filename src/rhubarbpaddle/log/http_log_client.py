"""HTTP client of the platform's log."""

import base64
from datetime import timedelta

import trio

from rhubarbpaddle.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RhubarbpaddleError,
)
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.http.service_client import ServiceClient
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.log.batch import Batch
from rhubarbpaddle.log.record import Record
from rhubarbpaddle.network import Network

# The timeout for a response, in addition to the wait that a read requests.
SILENCE_SECONDS = 2.0
# With these statuses the log has refused the request before appending. After
# any other error, such as a 500 or 504 from a proxy, the append may have taken
# effect.
_REFUSAL_STATUSES = frozenset({400, 404, 413, 429, 503})


class HttpLogClient:
    """Sends `POST /streams/NAME` and `GET /streams/NAME` to the log."""

    def __init__(self, network: Network, address: str) -> None:
        self._service = ServiceClient(network, address, SILENCE_SECONDS)

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record to a stream.

        Returns:
            The record's offset.

        Raises:
            LogUnavailableError: Nothing was appended.
            AppendUnknownError: The record may have been appended.
        """
        conn = await self._acquire("append")
        try:
            with trio.fail_after(SILENCE_SECONDS):
                status, _, content = await self._service.exchange(
                    conn, "POST", f"/streams/{stream}", payload
                )
            if status == 200:
                return int(decode_json(content)["offset"])
        except trio.TooSlowError as exc:
            await self._service.purge()
            raise self._make_unknown_error("no response in time") from exc
        except (RhubarbpaddleError, ValueError, KeyError) as exc:
            raise self._make_unknown_error(str(exc)) from exc
        finally:
            await self._service.release(conn)
        if status in _REFUSAL_STATUSES:
            raise self._make_unavailable_error(f"status {status}", "append")
        raise self._make_unknown_error(f"status {status}")

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> Batch:
        """Reads records from a stream; see `LogClient.read`.

        Returns or fails within `wait` plus 2 s.

        Raises:
            LogUnavailableError: The log did not respond or returned an error.
        """
        wait_ms = wait // timedelta(milliseconds=1)
        target = (
            f"/streams/{stream}?from={start}&limit={limit}&wait_ms={wait_ms}"
        )
        with trio.move_on_after(wait.total_seconds() + SILENCE_SECONDS):
            try:
                return await self._read_once(target)
            except LogUnavailableError:
                # Connections break when the log restarts, so the other idle
                # ones are probably dead too.
                if not self._service.has_idle:
                    raise
                await self._service.purge()
                return await self._read_once(target)
        await self._service.purge()
        raise self._make_unavailable_error("no response in time", "read")

    async def aclose(self) -> None:
        """Closes all idle connections."""
        await self._service.purge()

    async def _read_once(self, target: str) -> Batch:
        conn = await self._acquire("read")
        try:
            status, _, content = await self._service.exchange(
                conn, "GET", target, b""
            )
            if status == 200:
                return _parse_batch(decode_json(content))
        except (RhubarbpaddleError, ValueError, KeyError) as exc:
            raise self._make_unavailable_error(str(exc), "read") from exc
        finally:
            await self._service.release(conn)
        raise self._make_unavailable_error(f"status {status}", "read")

    async def _acquire(self, step: str) -> ClientConnection:
        try:
            return await self._service.acquire()
        except (OSError, trio.TooSlowError) as exc:
            raise self._make_unavailable_error(
                f"cannot connect: {exc}", step
            ) from exc

    def _make_unavailable_error(
        self, detail: str, step: str
    ) -> LogUnavailableError:
        return LogUnavailableError(
            detail, step=step, peer=self._service.address
        )

    def _make_unknown_error(self, detail: str) -> AppendUnknownError:
        return AppendUnknownError(
            detail, step="append", peer=self._service.address
        )


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
