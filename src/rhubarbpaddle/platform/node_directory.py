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
# A node that starts together with all others reads again when their entries
# should be there.
_SECOND_READ = timedelta(seconds=1)

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
    ) -> None:
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
        """Enters this node, then reads the entries twice."""
        await self._retry(self._enter)
        await self._retry(self._read)
        await self._clock.sleep(_SECOND_READ)
        await self._retry(self._read)

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
