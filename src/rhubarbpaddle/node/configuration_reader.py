"""Reads the log's `configuration` stream into a history."""

from collections.abc import Callable
from datetime import timedelta

import trio

from rhubarbpaddle.configuration import (
    Checkpoint,
    ConfigurationHistory,
    Publication,
    parse_record,
)
from rhubarbpaddle.exceptions import ConfigurationError, LogUnavailableError
from rhubarbpaddle.log import LogClient
from rhubarbpaddle.telemetry import get_logger

STREAM = "configuration"
_BATCH_RECORDS = 50

_log = get_logger("configuration")


class ConfigurationReader:
    """Reads batches and applies their records in order."""

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
            wait: How long to wait if there is no record yet. A text from a
                peer is verified without a wait.

        Raises:
            LogUnavailableError: The log did not answer.
        """
        start = self._history.next_offset
        if self._history.unverified:
            wait = timedelta()
        batch = await self._log.read(STREAM, start, _BATCH_RECORDS, wait)
        if self._history.next_offset != start:
            # A peer's configuration was adopted during the read.
            return
        self._history.observe_range(batch.first_offset, batch.end_offset)
        expected = self._history.next_offset
        for record in batch.records:
            # The check of a text takes several milliseconds; requests are
            # served between two of them.
            await trio.lowlevel.checkpoint()
            if self._history.next_offset != expected:
                # A checkpoint or a peer's configuration was taken.
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
        """Reads up to the end that the log has at the last read.

        Raises:
            LogUnavailableError: The log did not answer.
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
        """Starts from the newest checkpoint instead of the oldest record.

        Replaying a day's publications takes seconds, since each text is
        checked; checkpoints are much closer to the end.

        Raises:
            LogUnavailableError: The log did not answer.
        """
        batch = await self._log.read(STREAM, 0, 1, timedelta())
        if batch.first_offset == 0 and batch.end_offset <= _BATCH_RECORDS:
            return
        self._history.observe_range(batch.first_offset, batch.end_offset)
        low = batch.end_offset
        while low > batch.first_offset:
            high, low = low, max(batch.first_offset, low - _BATCH_RECORDS)
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
