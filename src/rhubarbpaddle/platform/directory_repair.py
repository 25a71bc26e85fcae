"""Writes again the entries of nodes that the store has lost."""

from collections.abc import Callable
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.membership import MemberStatus, MemberTable, ReaderPosition
from rhubarbpaddle.platform.directory_entry import (
    NODES_TOPIC,
    make_directory_entry,
)
from rhubarbpaddle.platform.store_client import StoreClient
from rhubarbpaddle.platform.store_retry import StoreRetry
from rhubarbpaddle.telemetry import get_logger

# The first reader writes all missing entries in one call. The others look after
# it has, in case that it failed or knows fewer nodes.
_RANK_DELAY = timedelta(seconds=1)

_log = get_logger("directory")


class DirectoryRepair:
    """Compares the directory with the known nodes in each new era.

    Only the readers of the store do so, so that the number of calls does not
    grow with the fleet.
    """

    def __init__(
        self,
        table: MemberTable,
        get_position: Callable[[], ReaderPosition | None],
        store: StoreClient,
        clock: Clock,
        retry: StoreRetry,
    ) -> None:
        """Creates a repair that waits for a new era.

        Args:
            table: The known nodes.
            get_position: Returns this node's place among the readers, or None.
            store: The platform's store.
            clock: The source of time.
            retry: Repeats failed calls to the store.
        """
        self._table = table
        self._get_position = get_position
        self._store = store
        self._clock = clock
        self._retry = retry
        self._era_began = trio.Event()

    def handle_new_era(self) -> None:
        """Starts a comparison after the store came back from a copy."""
        self._era_began.set()

    async def run(self) -> None:
        """Writes missing entries after each new era."""
        while True:
            await self._era_began.wait()
            self._era_began = trio.Event()
            position = self._get_position()
            if position is not None:
                await self._clock.sleep(position.rank * _RANK_DELAY)
                await self._retry.run(self._write_missing)

    async def _write_missing(self) -> None:
        newest = await self._store.read_newest(NODES_TOPIC)
        stored = {record.key for record in newest.records if record.value}
        missing = {
            member.node_id: make_directory_entry(
                member.peer_address, member.availability_zone
            )
            for member in self._table
            if member.status is MemberStatus.ALIVE
            and member.node_id not in stored
        }
        if missing:
            await self._store.put_all(NODES_TOPIC, missing)
        _log.info(
            "directory_repaired",
            era=newest.era,
            stored=len(stored),
            written=len(missing),
        )
