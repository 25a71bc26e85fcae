"""The addresses of all nodes, kept in the store."""

import json
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import AppendUnknownError, LogUnavailableError
from rhubarbpaddle.node.backoff import Backoff
from rhubarbpaddle.platform.store_client import StoreClient
from rhubarbpaddle.telemetry import get_logger

_TOPIC = "keyed.nodes"
_BACKOFF_LIMIT = timedelta(seconds=1)
# A node that is linked to others learns of the rest from them. One that is not
# reads again: after this time because all others may have started with it,
# and then ever less often because each read is a priced call.
_FIRST_REPEAT = timedelta(seconds=1)
_LAST_REPEAT = timedelta(seconds=30)

_log = get_logger("directory")


class NodeDirectory:
    """Writes this node's address and reads those of the others.

    Entries of nodes that are gone stay; they only cost an attempt to connect.
    """

    def __init__(
        self,
        node_id: str,
        peer_address: str,
        store: StoreClient,
        clock: Clock,
        rng: random.Random,
        get_link_count: Callable[[], int],
        wait_for_store: Callable[[], Awaitable[None]],
    ) -> None:
        """Makes a directory that knows no other node.

        Args:
            node_id: This node.
            peer_address: Its `IP:PORT` for other nodes.
            store: The platform's store.
            clock: The source of time.
            rng: The source of jitter.
            get_link_count: Returns how many control links are open.
            wait_for_store: Waits until the store has answered a read, so that
                an outage costs the calls of one task only.
        """
        self._wait_for_store = wait_for_store
        self._get_link_count = get_link_count
        self._node_id = node_id
        self._peer_address = peer_address
        self._store = store
        self._clock = clock
        self._rng = rng
        self._addresses: tuple[str, ...] = ()

    def get_addresses(self) -> tuple[str, ...]:
        """Returns the peer addresses of the other nodes."""
        return self._addresses

    async def run(self) -> None:
        """Enters this node and reads the entries until others are found."""
        await self._wait_for_store()
        await self._retry(self._enter)
        await self._retry(self._read)
        pause = _FIRST_REPEAT
        while True:
            await self._clock.sleep(pause)
            if self._get_link_count() == 0:
                await self._retry(self._read)
                pause = min(2 * pause, _LAST_REPEAT)
            else:
                pause = _LAST_REPEAT

    async def _retry(self, step: Callable[[], Awaitable[None]]) -> None:
        backoff = Backoff(self._rng, _BACKOFF_LIMIT)
        while True:
            try:
                await step()
            except (AppendUnknownError, LogUnavailableError) as exc:
                _log.warn("directory_failed", error=exc)
                await self._clock.sleep(backoff.next_delay())
            else:
                return

    async def _enter(self) -> None:
        value = json.dumps({"peer_address": self._peer_address}).encode()
        await self._store.put(_TOPIC, self._node_id, value)

    async def _read(self) -> None:
        newest = await self._store.read_newest(_TOPIC)
        addresses = []
        for record in newest.records:
            if record.key == self._node_id:
                continue
            try:
                addresses.append(str(json.loads(record.value)["peer_address"]))
            except (ValueError, KeyError, TypeError):
                _log.warn("directory_entry_invalid", key=record.key)
        self._addresses = tuple(addresses)
        _log.info("directory_read", nodes=len(addresses))
