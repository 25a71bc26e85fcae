"""The requests that crash instances, as kept in the platform's store."""

import msgspec
import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.crash_ledger import CRASHES_TO_BLOCK, CrashLedger
from rhubarbpaddle.execution.crash_update import CrashUpdate
from rhubarbpaddle.execution.crash_update_check import (
    find_crash_update_problem,
)
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.platform.directory_entry import NODES_TOPIC
from rhubarbpaddle.platform.keyed_record import KeyedRecord
from rhubarbpaddle.platform.recent_write import RecentWrite
from rhubarbpaddle.platform.store_client import StoreClient
from rhubarbpaddle.platform.store_retry import StoreRetry
from rhubarbpaddle.telemetry import get_logger

# Precedes the id of a node in the key under which it stores crash records.
CRASHES_PREFIX = "crashed/"
# All nodes read all entries when they start. An entry of this many requests has
# about a kilobyte.
_MAX_REQUESTS = 8

_log = get_logger("directory")


class StoredCrashes:
    """Stores which requests are blocked, for a restart of all nodes.

    Load pattern: a caller repeats a request that crashes its instances while
    all nodes are lost. The nodes that start again learn from the store that it
    is blocked. Crashes of requests that are not blocked yet are not stored, so
    such a request may crash further instances after each loss of all nodes; a
    write for each crash would cost more, as most crashes have other causes.

    The node that records the last crash before a request is blocked stores it.
    """

    def __init__(
        self,
        node_id: str,
        ledger: CrashLedger,
        store: StoreClient,
        retry: StoreRetry,
        clock: Clock,
    ) -> None:
        """Creates the records of a node and listens to its ledger.

        Args:
            node_id: The id of this node.
            ledger: The crash records of all nodes.
            store: The platform's store.
            retry: Repeats failed calls to the store.
            clock: The source of time.
        """
        self._recent = RecentWrite(clock)
        self._node_id = node_id
        self._ledger = ledger
        self._store = store
        self._retry = retry
        self._changed = trio.Event()
        self._is_reading = False
        ledger.add_listener(self._handle_update)

    def read(self, record: KeyedRecord) -> None:
        """Merges an entry of the store into the ledger."""
        self._is_reading = True
        try:
            document = decode_json(record.value)
            updates = msgspec.convert(document, list[CrashUpdate])
            for update in updates[:_MAX_REQUESTS]:
                if problem := find_crash_update_problem(update):
                    raise ValueError(problem)
                self._ledger.merge(update)
        except (ValueError, msgspec.MsgspecError) as exc:
            _log.warn("directory_entry_invalid", key=record.key, reason=exc)
        finally:
            self._is_reading = False

    def handle_new_era(self) -> None:
        """Stores the requests again if the store may have lost them."""
        if self._recent.may_be_lost():
            self._changed.set()

    async def run(self) -> None:
        """Stores the requests that this node's records block."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            await self._retry.run(self._write)

    def _handle_update(self, update: CrashUpdate) -> None:
        if not self._is_reading and self._is_own_block(update):
            self._changed.set()

    def _is_own_block(self, update: CrashUpdate) -> bool:
        crashes = update.crashes
        return (
            len(crashes) >= CRASHES_TO_BLOCK
            and max(crashes, key=lambda crash: crash.recorded_at).node_id
            == self._node_id
        )

    async def _write(self) -> None:
        blocked = [
            update
            for update in self._ledger.get_updates()
            if self._is_own_block(update)
        ][-_MAX_REQUESTS:]
        value = msgspec.json.encode(blocked)
        await self._store.put(
            NODES_TOPIC, CRASHES_PREFIX + self._node_id, value
        )
        self._recent.record()
        _log.info("crashes_stored", requests=len(blocked))
