"""Reads the log's `configuration` stream in batches."""

from collections.abc import Callable
from datetime import timedelta

import trio

from rhubarbpaddle.configuration.checkpoint import Checkpoint
from rhubarbpaddle.configuration.configuration_history import (
    ConfigurationHistory,
)
from rhubarbpaddle.configuration.publication import Publication
from rhubarbpaddle.configuration.records import parse_record
from rhubarbpaddle.exceptions import ConfigurationError, LogUnavailableError
from rhubarbpaddle.log import LogClient
from rhubarbpaddle.telemetry import get_logger

STREAM = "configuration"
_MAX_BATCH_RECORDS = 50

_log = get_logger("configuration")


class ConfigurationReader:
    """Reads batches of records and applies them to a history in order."""

    def __init__(
        self,
        log: LogClient,
        history: ConfigurationHistory,
        on_change: Callable[[], None],
    ) -> None:
        self._log = log
        self._history = history
        self._on_change = on_change

    async def read(self, wait: timedelta) -> None:
        """Reads one batch.

        Args:
            wait: The timeout of the long poll if there is no new record. While
                a configuration adopted from a peer is unverified, the read
                doesn't wait.

        Raises:
            LogUnavailableError: The log did not respond.
        """
        start = self._history.next_offset
        if self._history.unverified:
            wait = timedelta()
        batch = await self._log.read(STREAM, start, _MAX_BATCH_RECORDS, wait)
        if self._history.next_offset != start:
            # A peer's configuration was adopted during the read.
            return
        self._history.observe_range(batch.first_offset, batch.end_offset)
        expected = self._history.next_offset
        for record in batch.records:
            # Validating a text takes several milliseconds; let other tasks run
            # in between.
            await trio.lowlevel.checkpoint()
            if self._history.next_offset != expected:
                # A checkpoint was restored or a peer's configuration adopted.
                return
            expected = record.offset + 1
            changed = self._history.apply(
                record.offset, _parse(record.offset, record.payload)
            )
            if self._history.ignored_reason:
                _log.info(
                    "configuration_record_ignored",
                    offset=record.offset,
                    reason=self._history.ignored_reason,
                )
            if changed:
                self._on_change()

    async def catch_up(self) -> None:
        """Reads until the end of the stream, as of the last read.

        Raises:
            LogUnavailableError: The log did not respond, or returned no
                records before the end of the stream.
        """
        await self.read(timedelta())
        while self._history.unapplied_records:
            previous_offset = self._history.next_offset
            await self.read(timedelta())
            if self._history.next_offset == previous_offset:
                raise LogUnavailableError(
                    "the log returned no records", step="catch_up"
                )

    async def find_start(self) -> None:
        """Searches backwards for the newest checkpoint and restores it.

        Replaying a day's publications takes seconds, because each text is
        validated; checkpoints are much closer to the end of the stream. A
        stream that fits into one batch is not searched.

        Raises:
            LogUnavailableError: The log did not respond.
        """
        batch = await self._log.read(STREAM, 0, 1, timedelta())
        if batch.first_offset == 0 and batch.end_offset <= _MAX_BATCH_RECORDS:
            return
        self._history.observe_range(batch.first_offset, batch.end_offset)
        low = batch.end_offset
        while low > batch.first_offset:
            high, low = low, max(batch.first_offset, low - _MAX_BATCH_RECORDS)
            batch = await self._log.read(STREAM, low, high - low, timedelta())
            for record in reversed(batch.records):
                parsed = _parse(record.offset, record.payload)
                if parsed is None or parsed["kind"] != "checkpoint":
                    continue
                version = self._history.version
                if self._history.restore(record.offset, parsed):
                    if self._history.version != version:
                        self._on_change()
                    return


def _parse(offset: int, payload: bytes) -> Publication | Checkpoint | None:
    try:
        return parse_record(payload)
    except ConfigurationError as exc:
        _log.warn("configuration_record_malformed", offset=offset, error=exc)
        return None
