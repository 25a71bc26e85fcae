"""Control links of this node, which form the overlay network."""

import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.crash_update import CrashUpdate
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    StoreAccess,
    StoreAccessTable,
    Suspicion,
    choose_neighbours,
)
from rhubarbpaddle.membership.configuration_currency import (
    ConfigurationCurrency,
)
from rhubarbpaddle.membership.neighbours import (
    RINGS,
    choose_missing_neighbours,
)
from rhubarbpaddle.membership.reader_contact import ReaderContact
from rhubarbpaddle.peer.configuration_requests import ConfigurationRequests
from rhubarbpaddle.peer.configuration_source import ConfigurationSource
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.control_link import (
    HEARTBEAT_INTERVAL_SECONDS,
    SILENCE_SECONDS,
    ControlLink,
)
from rhubarbpaddle.peer.incoming_links import IncomingLinks
from rhubarbpaddle.peer.link_backoff import LinkBackoff
from rhubarbpaddle.peer.link_end import LinkEnd
from rhubarbpaddle.peer.link_end_log import LinkEndLog
from rhubarbpaddle.peer.messages import Hello
from rhubarbpaddle.peer.rejoin_choice import choose_rejoin_addresses
from rhubarbpaddle.rollout.rollout_board import Notice, RolloutBoard
from rhubarbpaddle.telemetry import get_logger

PURPOSE = "control"
_MAINTENANCE_INTERVAL = timedelta(milliseconds=250)
# The interval of a node without links, which after a power loss starts at the
# same time as those that it tries to reach, and the shortest interval.
_LINKLESS_INTERVAL = timedelta(milliseconds=100)
_MIN_INTERVAL = timedelta(milliseconds=20)
# How long a node that starts waits for a link, and how long after that for the
# entries that the neighbour sends first.
_FIRST_LINK_SECONDS = 0.3
_FIRST_ENTRIES_DELAY = timedelta(milliseconds=100)
# A link on which two heartbeats are missing may be silent; it is not closed
# yet, but a change may not arrive over it.
_ACTIVE_SECONDS = 2.5 * HEARTBEAT_INTERVAL_SECONDS
_RECONNECT_DELAY = timedelta(milliseconds=250)
# A link that silence ended lasted longer. It may be replaced at once.
_STABLE_LINK_TIME = timedelta(seconds=SILENCE_SECONDS)
# The other links, or the store, supply the node meanwhile.
_MAX_RECONNECT_DELAY = timedelta(seconds=4)
# How often a node that has links connects to dead members and unknown seeds,
# and how long such a link lasts. Two heartbeats suffice to exchange the member
# tables.
_REJOIN_INTERVAL_SECONDS = 5.0
_REJOIN_LINK_SECONDS = 1.5
_MAX_REJOIN_LINKS = 3
# How often a node tries to reach dead nodes that would be its neighbours, and
# for how long after their death. A node that is started again without the log
# knows no address, so that it has to wait for such an attempt.
_RETURN_INTERVAL_SECONDS = 0.5
_RETURN_SECONDS = 30.0

_log = get_logger("control")


class Overlay:
    """Maintains links to the neighbours and broadcasts changes over them.

    Attributes:
        link_ends: The record of the links that ended.
    """

    def __init__(
        self,
        connector: PeerConnector,
        table: MemberTable,
        suspicion: Suspicion,
        configuration: ConfigurationSource,
        clock: Clock,
        rng: random.Random,
        get_seeds: Callable[[], Sequence[str]],
        get_near_seeds: Callable[[], frozenset[str]],
        crashes: CrashLedger,
        store_access: StoreAccessTable,
        rollouts: RolloutBoard | None = None,
        currency: ConfigurationCurrency | None = None,
        reader_contact: ReaderContact | None = None,
    ) -> None:
        self._connector = connector
        self._table = table
        self._suspicion = suspicion
        self._configuration = configuration
        self._requests = ConfigurationRequests(clock)
        self._clock = clock
        self._rng = rng
        self._get_seeds = get_seeds
        self._get_near_seeds = get_near_seeds
        self.link_ends = LinkEndLog(clock)
        self._incoming_links = IncomingLinks(clock, rng)
        self._links: list[ControlLink] = []
        self._link_scopes: dict[str, trio.CancelScope] = {}
        self._members_changed = True
        self._wake = trio.Event()
        self._first_link = trio.Event()
        self._rejoined_at = float("-inf")
        self._returns_tried_at = float("-inf")
        self._crashes = crashes
        self._store_access = store_access
        self._rollouts = rollouts or RolloutBoard(table)
        self._currency = currency
        self._reader_contact = reader_contact
        if reader_contact is not None:
            reader_contact.add_listener(self.flush)
        table.add_listener(self._broadcast_member)
        crashes.add_listener(self._broadcast_crash_count)
        store_access.add_listener(self._broadcast_store_access)
        self._rollouts.add_listener(self._broadcast_rollout)

    @property
    def link_count(self) -> int:
        """The number of open links."""
        return len(self._links)

    def get_links(self) -> Sequence[ControlLink]:
        """Returns the open links."""
        return self._links

    def has_active_link(self) -> bool:
        """Returns whether a neighbour has sent anything very recently."""
        oldest = self._clock.monotonic() - _ACTIVE_SECONDS
        return any(link.received_at >= oldest for link in self._links)

    async def wait_for_first_entries(self) -> None:
        """Waits until neighbours have sent entries, or for a short time."""
        with trio.move_on_after(_FIRST_LINK_SECONDS):
            await self._first_link.wait()
            await self._clock.sleep(_FIRST_ENTRIES_DELAY)

    def flush(self) -> None:
        """Sends what is due to all neighbours immediately.

        These are the version of a new configuration and news of a reader.
        """
        for link in self._links:
            link.flush()

    async def serve(self, conn: PeerConnection, hello: Hello) -> None:
        """Runs a link that another node has opened, until it closes."""
        seconds = await self._run_link(conn, hello.node_id, is_outgoing=False)
        self._incoming_links.record_end(hello.node_id, seconds)

    def get_welcome_delay(self, hello: Hello) -> timedelta:
        """Returns how long to wait before a connection is accepted."""
        if hello.purpose != PURPOSE:
            return timedelta()
        return self._incoming_links.get_remaining_delay(hello.node_id)

    async def run(self) -> None:
        """Opens and closes links as the set of members changes."""
        async with trio.open_nursery() as nursery:
            while True:
                self._suspicion.expire()
                if self._members_changed:
                    self._members_changed = False
                    self._update_link_tasks(nursery)
                self._start_rejoin_links(nursery)
                self._start_return_links(nursery)
                await self._wait_for_maintenance()

    def handle_seeds_changed(self) -> None:
        """Connects to new seeds at once if there are no links."""
        if not self._links:
            self._wake.set()

    async def _wait_for_maintenance(self) -> None:
        interval = _MAINTENANCE_INTERVAL if self._links else _LINKLESS_INTERVAL
        with trio.move_on_after(interval.total_seconds()):
            await self._wake.wait()
            self._wake = trio.Event()
            await self._clock.sleep(_MIN_INTERVAL)

    def _broadcast_member(self, member: Member, source: str | None) -> None:
        self._members_changed = True
        if len(self._links) < RINGS:
            # A node that has just started opens its links without delay.
            self._wake.set()
        for link in self._links:
            if link.peer_id != source:
                link.enqueue(member)

    def _broadcast_crash_count(self, update: CrashUpdate) -> None:
        for link in self._links:
            link.enqueue_crash_count(update)

    def _broadcast_store_access(
        self, entry: StoreAccess, source: str | None
    ) -> None:
        for link in self._links:
            if link.peer_id != source:
                link.enqueue_store_access(entry)

    def _broadcast_rollout(self, notice: Notice, source: str | None) -> None:
        for link in self._links:
            if link.peer_id != source:
                link.enqueue_rollout(notice)

    def _update_link_tasks(self, nursery: trio.Nursery) -> None:
        neighbours = choose_neighbours(
            self._table.own.node_id, self._get_reachable_zones()
        )
        for node_id in self._link_scopes.keys() - neighbours:
            self._link_scopes.pop(node_id).cancel()
        for node_id in sorted(neighbours - self._link_scopes.keys()):
            scope = self._link_scopes[node_id] = trio.CancelScope()
            nursery.start_soon(self._maintain_link, node_id, scope)

    async def _maintain_link(
        self, node_id: str, scope: trio.CancelScope
    ) -> None:
        """Maintains the link to one neighbour, reconnecting when it breaks.

        Ends when the scope is cancelled or the neighbour is dead.
        """
        backoff = LinkBackoff(
            self._clock, self._rng, _STABLE_LINK_TIME, _MAX_RECONNECT_DELAY
        )
        with scope:
            while True:
                if delay := backoff.get_remaining_delay():
                    await self._clock.sleep(delay)
                member = self._table.get(node_id)
                if member is None or member.status is MemberStatus.DEAD:
                    break
                try:
                    conn = await self._connector.connect(
                        member.peer_address, PURPOSE
                    )
                except (OSError, RhubarbpaddleError) as exc:
                    if self._suspicion.suspect(node_id):
                        _log.warn("member_suspected", peer=node_id, reason=exc)
                    await self._clock.sleep(_RECONNECT_DELAY)
                    continue
                seconds = await self._run_outgoing_link(conn, node_id)
                backoff.record_end(seconds)
        if self._link_scopes.get(node_id) is scope:
            del self._link_scopes[node_id]
            self._members_changed = True

    def _start_rejoin_links(self, nursery: trio.Nursery) -> None:
        """Opens short links to some dead members and unknown seeds.

        They merge the member tables after a network partition.
        """
        now = self._clock.monotonic()
        if self._links and now - self._rejoined_at < _REJOIN_INTERVAL_SECONDS:
            return
        self._rejoined_at = now
        own_address = self._table.own.peer_address
        known_addresses = {
            member.peer_address
            for member in self._table
            if member.status is not MemberStatus.DEAD
        }
        dead_addresses = [
            member.peer_address
            for member in self._table
            if member.status is MemberStatus.DEAD
        ]
        addresses = (
            {*self._get_seeds(), *dead_addresses}
            - known_addresses
            - {own_address}
        )
        if not addresses:
            return
        count = 1 if self._links else _MAX_REJOIN_LINKS
        for address in choose_rejoin_addresses(
            addresses, self._get_near_seeds(), count, self._rng
        ):
            nursery.start_soon(self._run_rejoin_link, address)

    def _start_return_links(self, nursery: trio.Nursery) -> None:
        """Opens short links to dead nodes that have started again."""
        now = self._clock.monotonic()
        if now - self._returns_tried_at < _RETURN_INTERVAL_SECONDS:
            return
        self._returns_tried_at = now
        dead_ids = self._suspicion.get_recently_dead(_RETURN_SECONDS)
        if not dead_ids:
            return
        dead = {
            node_id: member
            for node_id in dead_ids
            if (member := self._table.get(node_id)) is not None
        }
        for node_id in choose_missing_neighbours(
            self._table.own.node_id,
            self._get_reachable_zones(),
            {
                node_id: member.availability_zone
                for node_id, member in dead.items()
            },
        ):
            address = dead[node_id].peer_address
            nursery.start_soon(self._run_rejoin_link, address)

    def _get_reachable_zones(self) -> dict[str, str]:
        """Returns the zones of the nodes that are not dead, by node id."""
        return {
            member.node_id: member.availability_zone
            for member in self._table
            if member.status is not MemberStatus.DEAD
        }

    async def _run_rejoin_link(self, address: str) -> None:
        try:
            conn = await self._connector.connect(address, PURPOSE)
        except (OSError, RhubarbpaddleError) as exc:
            _log.debug("contact_failed", peer=address, reason=exc)
            return
        with trio.move_on_after(_REJOIN_LINK_SECONDS):
            await self._run_outgoing_link(conn, conn.peer)

    async def _run_outgoing_link(
        self, conn: PeerConnection, node_id: str
    ) -> float:
        """Runs a link that this node has opened; see `_run_link`."""
        try:
            return await self._run_link(conn, node_id, is_outgoing=True)
        finally:
            await conn.aclose()

    async def _run_link(
        self, conn: PeerConnection, node_id: str, is_outgoing: bool
    ) -> float:
        """Runs a link until it breaks, and records why.

        Returns:
            For how many seconds it was open.
        """
        started_at = self._clock.monotonic()
        link = ControlLink(
            conn,
            node_id,
            self._table,
            self._configuration,
            self._requests,
            self._clock,
            self._crashes,
            self._connector.is_valid_address,
            self._store_access,
            self._rollouts,
            self._currency,
            self._reader_contact,
        )
        self._links.append(link)
        self._first_link.set()
        try:
            link.enqueue(self._table.own)
            await link.run()
        except RhubarbpaddleError as exc:
            seconds = self._clock.monotonic() - started_at
            self.link_ends.record(LinkEnd(node_id, is_outgoing, exc, seconds))
        finally:
            self._links.remove(link)
        return self._clock.monotonic() - started_at
