"""Writes configuration checkpoints before the log drops old records."""

import hashlib
import json
from collections.abc import Callable, Collection
from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.checkpoint import Checkpoint
from rhubarbpaddle.configuration.checkpoint_metadata import CheckpointMetadata
from rhubarbpaddle.configuration.configuration_history import (
    ConfigurationHistory,
)
from rhubarbpaddle.exceptions import AppendUnknownError, LogUnavailableError
from rhubarbpaddle.log import LogClient
from rhubarbpaddle.node.configuration_reader import STREAM
from rhubarbpaddle.telemetry import get_logger

# A reader without state replays at most about this many publications, which
# takes about 1 s at 10 ms for validating one text.
_MAX_REPLAYED_PUBLICATIONS = 100
_CHECK_INTERVAL = timedelta(seconds=5)
# The time until the other members have read a writer's append.
_DELAY_PER_RANK = timedelta(seconds=2)
_MAX_DELAY = timedelta(minutes=10)

_log = get_logger("configuration")


class CheckpointWriter:
    """Writes a checkpoint when the newest one is too old.

    Members are ranked by rendezvous hash. The first one writes immediately; the
    others wait longer the lower their rank, and then find the new checkpoint.
    """

    def __init__(
        self,
        node_id: str,
        interval: timedelta,
        history: ConfigurationHistory,
        log: LogClient,
        clock: Clock,
        get_members: Callable[[], Collection[str]],
    ) -> None:
        self._node_id = node_id
        self._interval = interval
        self._history = history
        self._log = log
        self._clock = clock
        self._get_members = get_members
        self._last_checkpoint: CheckpointMetadata | None = None
        self._last_checkpoint_read_at = 0.0
        self._last_checkpoint_age = timedelta()

    async def run(self) -> None:
        """Writes checkpoints until cancelled."""
        check_interval = min(_CHECK_INTERVAL, self._interval / 4)
        while True:
            await self._clock.sleep(check_interval)
            if not self._is_due():
                continue
            await self._clock.sleep(self._get_delay())
            if self._is_due():
                await self._write()

    def _is_due(self) -> bool:
        history = self._history
        if history.accepted is None or history.gap or history.unverified:
            return False
        if history.unapplied_records:
            return False
        newest = history.checkpoint
        if (
            newest is None
            or history.version - newest.version >= _MAX_REPLAYED_PUBLICATIONS
        ):
            return True
        return self._get_age(newest) >= self._interval

    def _get_age(self, newest: CheckpointMetadata) -> timedelta:
        """Returns a checkpoint's age.

        The age is never negative, even if the writer's clock was ahead. Wall
        clocks are compared only when the checkpoint is first read; from then
        on the age is measured by this node's monotonic clock.
        """
        now = self._clock.monotonic()
        if newest != self._last_checkpoint:
            now_ms = self._clock.now().timestamp() * 1000
            age_ms = max(0.0, now_ms - newest.written_ms)
            self._last_checkpoint = newest
            self._last_checkpoint_read_at = now
            self._last_checkpoint_age = min(
                timedelta(milliseconds=age_ms), self._interval
            )
        return self._last_checkpoint_age + timedelta(
            seconds=now - self._last_checkpoint_read_at
        )

    def _get_delay(self) -> timedelta:
        hashes = sorted(
            map(_hash_node_id, {*self._get_members(), self._node_id})
        )
        rank = hashes.index(_hash_node_id(self._node_id))
        return min(rank * _DELAY_PER_RANK, _MAX_DELAY, self._interval / 2)

    async def _write(self) -> None:
        accepted = self._history.accepted
        assert accepted is not None
        checkpoint = Checkpoint(
            kind="checkpoint",
            version=accepted.version,
            text=accepted.text,
            as_of=accepted.as_of,
            written_ms=int(self._clock.now().timestamp() * 1000),
        )
        try:
            offset = await self._log.append(
                STREAM, json.dumps(checkpoint).encode()
            )
        except (AppendUnknownError, LogUnavailableError) as exc:
            # If the record was appended nevertheless, the follower reads it
            # and the next check finds no checkpoint due.
            _log.warn("checkpoint_append_failed", error=exc)
            return
        _log.info("checkpoint_written", version=accepted.version, offset=offset)


def _hash_node_id(node_id: str) -> bytes:
    return hashlib.sha256(f"checkpoint {node_id}".encode()).digest()
