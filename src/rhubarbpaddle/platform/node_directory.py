"""The directory of node addresses in the platform's store."""

import json
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.node.departures import Departures
from rhubarbpaddle.node.instance_boot import InstanceBoot
from rhubarbpaddle.platform.directory_entry import (
    NODES_TOPIC,
    make_directory_entry,
)
from rhubarbpaddle.platform.keyed_record import KeyedRecord
from rhubarbpaddle.platform.recent_write import RecentWrite
from rhubarbpaddle.platform.store_client import StoreClient
from rhubarbpaddle.platform.store_retry import StoreRetry
from rhubarbpaddle.platform.stored_crashes import CRASHES_PREFIX
from rhubarbpaddle.telemetry import get_logger

# Precedes the id of a node in the key under which the departures of its
# instances are stored, as an object of instance ids and incarnations.
_DEPARTURE_PREFIX = "departed/"
# How long the acknowledgement of a departure waits until it is stored; the
# platform accepts acknowledgements within a second.
_STORE_TIMEOUT_SECONDS = 0.4
# How long a node that starts waits for the entries.
_FIRST_READ_SECONDS = 0.4
# A node that is connected to others learns the remaining addresses from them.
# A node without connections rereads them: first after the shorter time, because
# all nodes may have started together, then at growing intervals, because the
# platform charges for each read.
_MIN_REREAD_INTERVAL = timedelta(seconds=1)
_MAX_REREAD_INTERVAL = timedelta(seconds=30)

_log = get_logger("directory")


class NodeDirectory:
    """Publishes this node's address and reads those of other nodes.

    It also stores the departures of this node's instances, so that they are
    known after a restart of all nodes.

    Entries of removed nodes are not deleted; each only costs an attempt to
    connect.
    """

    def __init__(
        self,
        node_id: str,
        peer_address: str,
        availability_zone: str,
        store: StoreClient,
        clock: Clock,
        retry: StoreRetry,
        is_valid_address: Callable[[str], bool],
        get_link_count: Callable[[], int],
        wait_for_store: Callable[[], Awaitable[None]],
        on_change: Callable[[], None],
        on_departure: Callable[[InstanceBoot], None],
        on_crashes: Callable[[KeyedRecord], None],
        is_first_start: bool,
    ) -> None:
        """Creates a directory without addresses of other nodes.

        Args:
            node_id: The id of this node.
            peer_address: The `IP:PORT` of this node for other nodes.
            availability_zone: The zone of this node.
            store: The platform's store.
            clock: The source of time.
            retry: Repeats failed calls to the store.
            is_valid_address: Returns whether connections to an address can be
                attempted; entries with others are ignored.
            get_link_count: Returns the number of open control connections.
            wait_for_store: Waits until the store has responded to a read, so
                that only one task calls the store during an outage.
            on_change: Called after the entries were read.
            on_departure: Called with each departure of this node's instances
                that is read.
            on_crashes: Called with each entry of crash records.
            is_first_start: Whether the whole fleet starts for the first time.
        """
        self._wait_for_store = wait_for_store
        self._on_change = on_change
        self._on_departure = on_departure
        self._on_crashes = on_crashes
        self._is_first_start = is_first_start
        self._get_link_count = get_link_count
        self._is_valid_address = is_valid_address
        self._node_id = node_id
        self._peer_address = peer_address
        self._availability_zone = availability_zone
        self._store = store
        self._clock = clock
        self._retry = retry
        self._addresses: tuple[str, ...] = ()
        self._near_addresses: frozenset[str] = frozenset()
        self._is_registered = False
        self._entries_read = trio.Event()
        self._departures = Departures()
        self._recent_departure = RecentWrite(clock)
        self._departure_recorded = trio.Event()
        self._departure_stored = trio.Event()
        self._departure_stored.set()

    def get_addresses(self) -> tuple[str, ...]:
        """Returns the peer addresses of the other nodes."""
        return self._addresses

    def get_near_addresses(self) -> frozenset[str]:
        """Returns those of nodes in the same zone, as far as it is known."""
        return self._near_addresses

    def count_listed(self) -> int | None:
        """Returns the number of other nodes listed; None before a read."""
        return len(self._addresses) if self._entries_read.is_set() else None

    async def run(self) -> None:
        """Registers this node; rereads entries while no node is connected."""
        await self._wait_for_store()
        if self._is_first_start:
            # Nodes that start together find each other only if each has
            # registered before it reads.
            await self._retry.run(self._register)
        await self._retry.run(self._read_entries)
        if not self._is_registered:
            await self._retry.run(self._register)
        interval = _MIN_REREAD_INTERVAL
        while True:
            await self._clock.sleep(interval)
            if self._get_link_count() == 0:
                await self._retry.run(self._read_entries)
                interval = min(2 * interval, _MAX_REREAD_INTERVAL)
            else:
                interval = _MAX_REREAD_INTERVAL

    async def wait_for_entries(self) -> None:
        """Waits until the entries were read, or for a short time."""
        with trio.move_on_after(_FIRST_READ_SECONDS):
            await self._entries_read.wait()

    async def record_departure(self, boot: InstanceBoot) -> None:
        """Waits until a departure is stored, or for a short time.

        If the store does not respond in time, the departure is stored later.
        """
        if not self._departures.has_departed(boot):
            self._departures.record(boot)
            self._departure_stored = trio.Event()
            self._departure_recorded.set()
        with trio.move_on_after(_STORE_TIMEOUT_SECONDS):
            await self._departure_stored.wait()

    def handle_new_era(self) -> None:
        """Stores departures again if the store may have lost them."""
        if self._recent_departure.may_be_lost():
            self._departure_recorded.set()

    async def run_departures(self) -> None:
        """Stores each departure that is recorded."""
        while True:
            await self._departure_recorded.wait()
            self._departure_recorded = trio.Event()
            stored = self._departure_stored
            await self._retry.run(self._store_departure)
            stored.set()

    async def _store_departure(self) -> None:
        document = dict(self._departures)
        key = _DEPARTURE_PREFIX + self._node_id
        await self._store.put(NODES_TOPIC, key, json.dumps(document).encode())
        self._recent_departure.record()
        _log.info("departures_stored", instances=",".join(document))

    async def _register(self) -> None:
        value = make_directory_entry(
            self._peer_address, self._availability_zone
        )
        await self._store.put(NODES_TOPIC, self._node_id, value)
        self._is_registered = True

    async def _read_entries(self) -> None:
        newest = await self._store.read_newest(NODES_TOPIC)
        addresses = []
        near_addresses = []
        for record in newest.records:
            if record.key.startswith(_DEPARTURE_PREFIX):
                self._read_departure(record)
                continue
            if record.key.startswith(CRASHES_PREFIX):
                self._on_crashes(record)
                continue
            try:
                document = decode_json(record.value)
                address = str(document["peer_address"])
            except (ValueError, KeyError, TypeError) as exc:
                _log.warn("directory_entry_invalid", key=record.key, reason=exc)
                continue
            if record.key == self._node_id:
                # Entries are kept, so a node that starts again at its address
                # needs no call to register.
                self._is_registered |= address == self._peer_address
            elif self._is_valid_address(address):
                addresses.append(address)
                # Entries of earlier releases have no zone.
                if document.get("zone") == self._availability_zone:
                    near_addresses.append(address)
            else:
                _log.warn(
                    "directory_entry_invalid",
                    key=record.key,
                    reason="not an IP address and a port",
                )
        self._addresses = tuple(addresses)
        self._near_addresses = frozenset(near_addresses)
        self._entries_read.set()
        self._on_change()
        _log.info("directory_read", nodes=len(addresses))

    def _read_departure(self, record: KeyedRecord) -> None:
        if record.key != _DEPARTURE_PREFIX + self._node_id:
            return
        try:
            boots = [
                InstanceBoot(str(instance), int(incarnation))
                for instance, incarnation in decode_json(record.value).items()
            ]
        except (ValueError, AttributeError, TypeError, OverflowError) as exc:
            _log.warn("directory_entry_invalid", key=record.key, reason=exc)
            return
        for boot in boots:
            self._departures.record(boot)
            self._on_departure(boot)
