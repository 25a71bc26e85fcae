"""The client of the platform's store."""

import base64
import itertools
from collections.abc import Mapping
from datetime import timedelta
from urllib.parse import quote

import trio

from rhubarbpaddle.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RhubarbpaddleError,
)
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.http.service_client import ServiceClient
from rhubarbpaddle.http.service_response import ServiceResponse
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.network import Network
from rhubarbpaddle.platform.history_lost import HistoryLostError
from rhubarbpaddle.platform.keyed_record import (
    KeyedRecord,
    encode_record,
    parse_read_response,
)
from rhubarbpaddle.platform.log_records import LogRecords
from rhubarbpaddle.platform.newest_records import NewestRecords
from rhubarbpaddle.platform.store_silent import StoreSilentError
from rhubarbpaddle.telemetry import get_logger

# A healthy store responds in 4 ms, a slow one in up to 100 times as long.
RESPONSE_TIMEOUT = timedelta(seconds=2)
# How much longer than requested a read may be held. It is shorter than the
# timeout of other calls, because it adds to the time that a silent connection
# goes undetected.
HELD_READ_TIMEOUT = timedelta(seconds=1)
_CONNECT_TIMEOUT_SECONDS = 1.0
# Statuses with which the store reports that it appended nothing.
_REJECTED_STATUSES = frozenset({400, 403, 404, 413, 429, 503, 507})
_CONDITION_FAILED = 412
# How often the store has come back from an older copy; in each response.
_ERA_HEADER = b"store-era"

_log = get_logger("store")


class StoreClient:
    """Reads and writes keyed topics, each of which has one partition.

    Attributes:
        era: The newest era that a response has named; 0 if none has.
    """

    def __init__(self, network: Network, address: str) -> None:
        self._client = ServiceClient(network, address, _CONNECT_TIMEOUT_SECONDS)
        self.era = 0

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Sets the value of a key by appending a record.

        Raises:
            LogUnavailableError: Nothing was appended.
            AppendUnknownError: The record may have been appended, or may still
                be appended.
        """
        await self.put_all(topic, {key: value})

    async def put_all(self, topic: str, values: Mapping[str, bytes]) -> None:
        """Sets the values of several keys in one call, or of none.

        Raises:
            LogUnavailableError: Nothing was appended.
            AppendUnknownError: The records may have been appended, or may still
                be appended.
        """
        payload = b"".join(itertools.starmap(encode_record, values.items()))
        status = await self._append(topic, payload, "")
        if status == _CONDITION_FAILED:
            raise self._make_unavailable_error(f"status {status}", "append")

    async def put_at(
        self, topic: str, key: str, value: bytes, offset: int, era: int
    ) -> bool:
        """Appends a record if the partition ends at an offset of an era.

        The store checks the offset only. If it has come back from a copy since,
        the record may be there although the condition did not hold, which a
        further read shows.

        Returns:
            Whether the record was appended. If not, another one was, or the
            era has ended.

        Raises:
            LogUnavailableError: Nothing was appended.
            AppendUnknownError: The record may have been appended, or may still
                be appended while the partition ends at the offset.
        """
        if era != self.era:
            return False
        payload = encode_record(key, value)
        status = await self._append(topic, payload, f"&at={offset}")
        return status != _CONDITION_FAILED and era == self.era

    async def _append(self, topic: str, payload: bytes, condition: str) -> int:
        """Returns status 200, or 412 if the condition does not hold."""
        target = f"/log-append?topic={topic}&part=0{condition}"
        conn = await self._acquire("append")
        try:
            with trio.fail_after(RESPONSE_TIMEOUT.total_seconds()):
                response = await self._client.exchange(
                    conn, "POST", target, payload
                )
        except (trio.TooSlowError, RhubarbpaddleError) as exc:
            raise AppendUnknownError(
                f"no response: {exc}", step="append", peer=self._client.address
            ) from exc
        finally:
            await self._client.release(conn)
        self._record_era(response)
        status = response.status
        if status in _REJECTED_STATUSES:
            raise self._make_unavailable_error(f"status {status}", "append")
        if status not in (200, _CONDITION_FAILED):
            raise AppendUnknownError(
                f"status {status}", step="append", peer=self._client.address
            )
        return status

    async def read_newest(self, topic: str) -> NewestRecords:
        """Returns the newest record of each key, read page by page.

        Raises:
            StoreSilentError: The store did not respond within 2 s.
            LogUnavailableError: The store sent no valid response.
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        era = self.era
        page_parameter = ""
        while True:
            target = f"/log-newest?topic={topic}&part=0{page_parameter}"
            status, body = await self._get(target, timedelta())
            if not page_parameter:
                era = self.era
            elif era != self.era:
                raise self._make_unavailable_error(
                    f"era {self.era} began during a read", "read_newest"
                )
            if status != 200:
                raise self._make_unavailable_error(
                    f"status {status}", "read_newest"
                )
            try:
                # One key that is no text must not cost the other records.
                document = decode_json(
                    body.decode("utf-8", "replace"), replace_invalid_text=True
                )
                page = [
                    KeyedRecord(
                        str(item["key"]),
                        base64.b64decode(item["value"]),
                        int(item["offset"]),
                    )
                    for item in document["items"]
                ]
                if end is None:
                    end = int(document["end"])
                has_more = bool(document["hasMore"]) and bool(page)
            except (
                ValueError,
                KeyError,
                TypeError,
                AttributeError,
            ) as exc:
                raise self._make_unavailable_error(
                    f"malformed response: {exc!r}", "read_newest"
                ) from exc
            records += page
            if not has_more:
                return NewestRecords(records, end, era)
            page_parameter = f"&after={quote(page[-1].key, safe='')}"

    async def read(self, topic: str, start: int, wait: timedelta) -> LogRecords:
        """Reads records from an offset on, by a long poll.

        The records are those of the store's era when it responded, which may
        be another one than that of the offset.

        Args:
            topic: The topic.
            start: The first offset.
            wait: How long the store may hold the request if there are no
                records.

        Raises:
            HistoryLostError: The record at this offset has been deleted, or
                the store has no such offset.
            StoreSilentError: The store did not respond within `wait` and
                another second, or within 2 s if there is no wait.
            LogUnavailableError: The store sent no valid response.
            ProtocolError: The records are malformed.
        """
        wait_ms = wait // timedelta(milliseconds=1)
        target = f"/log-read?topic={topic}&part=0&from={start}&waitMs={wait_ms}"
        status, body = await self._get(target, wait)
        if status == 410:
            raise HistoryLostError(
                "the records have been deleted",
                step="read_log",
                peer=self._client.address,
            )
        if status != 200:
            raise self._make_unavailable_error(f"status {status}", "read_log")
        _, records = parse_read_response(body, start)
        return LogRecords(records, start + len(records), self.era)

    async def aclose(self) -> None:
        """Closes all idle connections."""
        await self._client.purge()

    async def _get(self, target: str, wait: timedelta) -> tuple[int, bytes]:
        timeout = wait + HELD_READ_TIMEOUT if wait else RESPONSE_TIMEOUT
        conn: ClientConnection | None = None
        try:
            with trio.fail_after(timeout.total_seconds()):
                conn = await self._client.acquire()
                response = await self._client.exchange(conn, "GET", target, b"")
        except trio.TooSlowError as exc:
            await self._client.purge()
            raise StoreSilentError(
                "no response in time", step="read", peer=self._client.address
            ) from exc
        except (OSError, RhubarbpaddleError) as exc:
            await self._client.purge()
            raise self._make_unavailable_error(
                f"no response: {exc}", "read"
            ) from exc
        finally:
            if conn is not None:
                await self._client.release(conn)
        if not self._record_era(response):
            raise self._make_unavailable_error(
                f"a response from before era {self.era}", "read"
            )
        return response.status, response.body

    def _record_era(self, response: ServiceResponse) -> bool:
        """Records the era that a response names.

        Returns:
            Whether it is not older than that of an earlier response.
        """
        value = response.get_header(_ERA_HEADER)
        if value is None:
            return True
        try:
            era = int(value)
        except ValueError:
            _log.warn("store_era_invalid", value=repr(value[:40]))
            return True
        if era > self.era:
            _log.info("store_era_changed", era=era, previous=self.era)
            self.era = era
        return era == self.era

    async def _acquire(self, step: str) -> ClientConnection:
        try:
            return await self._client.acquire()
        except (OSError, trio.TooSlowError) as exc:
            raise self._make_unavailable_error(
                f"no connection: {exc}", step
            ) from exc

    def _make_unavailable_error(
        self, detail: str, step: str
    ) -> LogUnavailableError:
        return LogUnavailableError(detail, step=step, peer=self._client.address)
