"""Announces this node in the log and learns of others from it."""

from datetime import timedelta

import msgspec
import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import AppendUnknownError, LogUnavailableError
from rhubarbpaddle.membership import Member, MemberTable
from rhubarbpaddle.platform import LogClient
from rhubarbpaddle.telemetry import get_logger

STREAM = "membership"
_BATCH_RECORDS = 1_000
_WAIT = timedelta(seconds=5)
_RETRY_DELAY = timedelta(milliseconds=500)

_log = get_logger("membership")


class MemberFollower:
    """Writes this node's entry to the log and reads those of others."""

    def __init__(
        self, table: MemberTable, log: LogClient, clock: Clock
    ) -> None:
        self._table = table
        self._log = log
        self._clock = clock
        self._changed = trio.Event()
        table.add_listener(self._note_change)

    async def run(self) -> None:
        """Reads and writes the stream for as long as the node runs."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write)
            nursery.start_soon(self._read)

    def _note_change(self, member: Member) -> None:
        if member.node_id == self._table.own.node_id:
            self._changed.set()

    async def _write(self) -> None:
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            payload = msgspec.json.encode(self._table.own)
            try:
                await self._log.append(STREAM, payload)
            except (AppendUnknownError, LogUnavailableError) as exc:
                _log.warn("member_append_failed", error=exc)
                self._changed.set()
                await self._clock.sleep(_RETRY_DELAY)

    async def _read(self) -> None:
        offset = 0
        while True:
            try:
                batch = await self._log.read(
                    STREAM, offset, _BATCH_RECORDS, _WAIT
                )
            except LogUnavailableError as exc:
                _log.warn("member_read_failed", error=exc)
                await self._clock.sleep(_RETRY_DELAY)
                continue
            for record in batch.records:
                offset = record.offset + 1
                member = msgspec.json.decode(record.payload, type=Member)
                if self._table.merge(member):
                    _log.info(
                        "member_changed",
                        node=member.node_id,
                        status=member.status,
                        version=member.version,
                    )
