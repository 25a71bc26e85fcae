"""Finds other nodes by the log's `membership` stream."""

import json
import random
from collections.abc import Sequence
from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import AppendUnknownError, LogUnavailableError
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.log import LogClient
from rhubarbpaddle.node.seed_record import SeedRecord
from rhubarbpaddle.telemetry import get_logger

STREAM = "membership"
# Enough of the newest records to find a node that is still running.
_MAX_READ_RECORDS = 64
_RETRY_INTERVAL_SECONDS = 1.0
_READ_INTERVAL_SECONDS = 60.0
# Often enough that retention doesn't empty the stream between restarts; 800
# nodes together write one record every 4.5 s.
_WRITE_INTERVAL_SECONDS = 3600.0

_log = get_logger("membership")


class SeedStream:
    """Publishes this node's address to the log and reads those of others."""

    def __init__(
        self,
        own_record: SeedRecord,
        configured_seeds: Sequence[str],
        log: LogClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._own_record = own_record
        self._configured_seeds = configured_seeds
        self._log = log
        self._clock = clock
        self._rng = rng
        self._addresses: tuple[str, ...] = ()

    def get_addresses(self) -> tuple[str, ...]:
        """Returns the addresses from the log and from the settings."""
        return (*self._addresses, *self._configured_seeds)

    async def run(self) -> None:
        """Writes and reads the stream periodically until cancelled."""
        written_at = float("-inf")
        while True:
            delay = _READ_INTERVAL_SECONDS
            try:
                if (
                    self._clock.monotonic() - written_at
                    >= _WRITE_INTERVAL_SECONDS
                ):
                    payload = json.dumps(self._own_record).encode()
                    await self._log.append(STREAM, payload)
                    written_at = self._clock.monotonic()
                await self._read()
            except (AppendUnknownError, LogUnavailableError) as exc:
                _log.warn("seed_stream_failed", error=exc)
                delay = _RETRY_INTERVAL_SECONDS
            if len(self._addresses) < 2:
                delay = _RETRY_INTERVAL_SECONDS
            jitter = 0.5 + self._rng.random()
            await self._clock.sleep(timedelta(seconds=delay * jitter))

    async def _read(self) -> None:
        """Reads the stream's newest records."""
        end = (await self._log.read(STREAM, 0, 1, timedelta())).end_offset
        start = max(0, end - _MAX_READ_RECORDS)
        batch = await self._log.read(
            STREAM, start, _MAX_READ_RECORDS, timedelta()
        )
        addresses = {}
        for record in batch.records:
            try:
                document: SeedRecord = decode_json(record.payload)
                addresses[document["node_id"]] = document["peer_address"]
            except (ValueError, KeyError, TypeError):
                _log.warn("seed_record_invalid", offset=record.offset)
        self._addresses = tuple(addresses.values())
