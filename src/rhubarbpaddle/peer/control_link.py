"""Control connection between two neighbours of the overlay."""

import math
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.state_version import NO_STATE, StateVersion
from rhubarbpaddle.exceptions import (
    ConfigurationError,
    MalformedMessageError,
    RhubarbpaddleError,
    UnsendableError,
)
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.crash_update import CrashUpdate
from rhubarbpaddle.execution.crash_update_check import (
    find_crash_update_problem,
)
from rhubarbpaddle.membership import (
    Member,
    MemberTable,
    StoreAccess,
    StoreAccessTable,
)
from rhubarbpaddle.membership.configuration_currency import (
    ConfigurationCurrency,
)
from rhubarbpaddle.membership.member_check import find_member_problem
from rhubarbpaddle.membership.reader_contact import ReaderContact
from rhubarbpaddle.membership.reader_pulse import ReaderPulse
from rhubarbpaddle.peer.configuration_requests import ConfigurationRequests
from rhubarbpaddle.peer.configuration_source import ConfigurationSource
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import (
    ConfigurationRequest,
    ConfigurationUpdate,
    CrashCounts,
    Heartbeat,
    MemberUpdate,
    Message,
)
from rhubarbpaddle.peer.messages.member_update import MEMBERS_PER_MESSAGE
from rhubarbpaddle.peer.rejected_entries import RejectedEntries
from rhubarbpaddle.peer.rollout_notices import RolloutNotices
from rhubarbpaddle.peer.transit_delay import TransitDelay
from rhubarbpaddle.rollout.rollout_board import Notice, RolloutBoard
from rhubarbpaddle.telemetry import get_logger

HEARTBEAT_INTERVAL_SECONDS = 0.5
# The heartbeats of nodes that pass on the pulses of readers follow these. With
# the same interval, a node would often send one just before a pulse arrives and
# another one with it.
_RELAY_INTERVAL_SECONDS = 0.6
# Changes that arrive within this time of the last message are sent together.
# When 195 nodes start at once, each would otherwise send and receive some 1,800
# messages, which took longer than the start of its process.
_MIN_SEND_INTERVAL_SECONDS = 0.05
# Four missed heartbeats end the link.
SILENCE_SECONDS = 2.0
# Tables differ briefly after each change. The whole table is sent only if the
# digests differ in several consecutive heartbeats, and at most this often.
_REPAIR_INTERVAL_SECONDS = 10.0
_DIFFERENCES_BEFORE_REPAIR = 4
# A message of 1 MiB can carry some 20,000 entries. Other tasks run after so
# many of them.
_ENTRIES_PER_CHECKPOINT = 64
# The estimated processor time of an entry. A table of 5,000 new entries is
# merged without a wait.
_ENTRY_SECONDS = 4e-6
# The link to a neighbour that sends no others ends after 4.5 s, with one
# heartbeat each 0.5 s.
_MAX_MALFORMED_MESSAGES = 8
# Names of other nodes are cut in logs, and where they are kept for them.
_LOGGED_NAME_LENGTH = 64

_Entry = TypeVar("_Entry")

_log = get_logger("control")


class ControlLink:
    """Exchanges members, crash counts and configuration with one neighbour.

    Attributes:
        peer_id: The neighbour's node id.
        received_at: Monotonic time in seconds of the last message. A link
            without one has not shown that it works.
    """

    def __init__(
        self,
        conn: PeerConnection,
        peer_id: str,
        table: MemberTable,
        configuration: ConfigurationSource,
        requests: ConfigurationRequests,
        clock: Clock,
        crashes: CrashLedger,
        is_valid_address: Callable[[str], bool],
        store_access: StoreAccessTable,
        rollouts: RolloutBoard,
        currency: ConfigurationCurrency | None = None,
        reader_contact: ReaderContact | None = None,
    ) -> None:
        self.peer_id = peer_id
        self.received_at = float("-inf")
        self._conn = conn
        self._table = table
        self._configuration = configuration
        self._requests = requests
        self._clock = clock
        self._crashes = crashes
        self._is_valid_address = is_valid_address
        self._store_access = store_access
        self._currency = currency
        self._reader_contact = reader_contact
        self._transit_delay = TransitDelay()
        self._pending_store_access = {
            entry.node_id: entry for entry in store_access.list_changed()
        }
        self._rollouts = rollouts
        self._rollout_notices = RolloutNotices(rollouts.list_notices())
        self._rejected = RejectedEntries()
        self._received_version: StateVersion | None = None
        self._malformed_messages = 0
        self._pending: dict[str, Member] = {}
        self._pending_crash_counts = {
            update.fingerprint: update for update in crashes.get_updates()
        }
        self._replaced_entries: list[Member] = []
        self._returned_entry: Member | None = None
        self._wake = trio.Event()
        self._sent_at = float("-inf")
        self._heartbeat_at = float("-inf")
        self._announced_version = NO_STATE
        self._relayed_at = float("-inf")
        self._version_to_request: StateVersion | None = None
        self._update_requested = False
        self._consecutive_differences = 0
        self._repaired_at = float("-inf")
        self._return_departure()

    def enqueue(self, member: Member) -> None:
        """Queues a member table entry and wakes the sender."""
        self._pending[member.node_id] = member
        self._wake.set()

    def enqueue_crash_count(self, update: CrashUpdate) -> None:
        """Queues the crash count of a request and wakes the sender."""
        self._pending_crash_counts[update.fingerprint] = update
        self._wake.set()

    def enqueue_store_access(self, entry: StoreAccess) -> None:
        """Queues a node's access to the store and wakes the sender."""
        self._pending_store_access[entry.node_id] = entry
        self._wake.set()

    def enqueue_rollout(self, notice: Notice) -> None:
        """Queues a notice of a roll-out and wakes the sender."""
        self._rollout_notices.add(notice)
        self._wake.set()

    def flush(self) -> None:
        """Sends pending changes without waiting for the next heartbeat."""
        self._wake.set()

    async def run(self) -> None:
        """Exchanges messages until the link breaks.

        Raises:
            RhubarbpaddleError: The connection closed, no message arrived for
                `SILENCE_SECONDS`, or a message was unexpected or invalid.
        """
        failures: list[RhubarbpaddleError] = []
        async with trio.open_nursery() as nursery:
            for run in (self._send_all, self._receive_all):
                nursery.start_soon(
                    self._run_direction, run, nursery.cancel_scope, failures
                )
        if failures:
            raise failures[0]

    async def _run_direction(
        self,
        run: Callable[[], Awaitable[None]],
        scope: trio.CancelScope,
        failures: list[RhubarbpaddleError],
    ) -> None:
        """Sends or receives until that fails, which ends the link.

        Args:
            run: Sends or receives messages.
            scope: The scope of both directions.
            failures: Gets the failure.
        """
        try:
            await run()
        except RhubarbpaddleError as exc:
            failures.append(exc)
        except Exception as exc:
            # A fault in the handling of one message must not end the node.
            failures.append(
                RhubarbpaddleError(
                    f"{type(exc).__name__}: {exc}",
                    step="control_link",
                    peer=self.peer_id,
                )
            )
        scope.cancel()

    async def _send_all(self) -> None:
        while True:
            self._wake = trio.Event()
            await self._send_pending()
            heartbeat_due = self._heartbeat_at + self._get_interval()
            with trio.move_on_after(
                max(0.0, heartbeat_due - self._clock.monotonic())
            ):
                await self._wake.wait()
            elapsed = self._clock.monotonic() - self._sent_at
            if elapsed < _MIN_SEND_INTERVAL_SECONDS:
                await trio.sleep(_MIN_SEND_INTERVAL_SECONDS - elapsed)

    async def _send_pending(self) -> None:
        self._sent_at = self._clock.monotonic()
        pending, self._pending = self._pending, {}
        members = (*self._replaced_entries, *pending.values())
        self._replaced_entries.clear()
        for start in range(0, len(members), MEMBERS_PER_MESSAGE):
            await self._send_entries(
                members[start : start + MEMBERS_PER_MESSAGE],
                MemberUpdate.from_members,
            )
        # Follows the members, because entries of unknown nodes are ignored.
        entries = tuple(self._pending_store_access.values())
        self._pending_store_access = {}
        await self._send_entries(
            entries, lambda batch: MemberUpdate((), store_access=batch)
        )
        # Likewise, counts of unknown nodes are ignored.
        await self._send_entries(
            self._rollout_notices.take_phases(),
            lambda batch: MemberUpdate((), rollout_phases=batch),
        )
        for reports in self._rollout_notices.take_reports():
            await self._send_entries(
                reports, lambda batch: MemberUpdate((), rollout_counts=batch)
            )
        crash_counts = tuple(self._pending_crash_counts.values())
        self._pending_crash_counts = {}
        await self._send_entries(crash_counts, CrashCounts)
        accepted = self._configuration.get_accepted()
        if self._update_requested and accepted is not None:
            self._update_requested = False
            await self._send_entries(
                (accepted,),
                lambda batch: ConfigurationUpdate.from_accepted(batch[0]),
            )
        if self._version_to_request is not None:
            await self._conn.send(
                ConfigurationRequest(self._version_to_request.number)
            )
            self._version_to_request = None
        await self._send_heartbeat_if_due()

    async def _send_entries(
        self,
        entries: tuple[_Entry, ...],
        make_message: Callable[[tuple[_Entry, ...]], Message],
    ) -> None:
        """Sends entries in one message, if there are any.

        If it can't be sent, the entries are sent without those that prevent it:
        one of them must not keep the others from the neighbour.

        Args:
            entries: The entries.
            make_message: Creates the message for some of them.
        """
        batches = [entries] if entries else []
        while batches:
            batch = batches.pop()
            try:
                await self._conn.send(make_message(batch))
            except UnsendableError as exc:
                if len(batch) == 1:
                    self._reject_unsendable(batch[0], exc)
                    continue
                middle = len(batch) // 2
                batches += (batch[middle:], batch[:middle])

    def _reject_unsendable(self, entry: object, exc: UnsendableError) -> None:
        kind = type(entry).__name__
        if self._rejected.add((kind, exc.detail)):
            _log.warn(
                "entry_unsendable",
                kind=kind,
                peer=self.peer_id,
                reason=exc.detail,
            )

    async def _send_heartbeat_if_due(self) -> None:
        version = self._get_own_version()
        now = self._clock.monotonic()
        contact = self._reader_contact
        if (
            version != self._announced_version
            or now - self._heartbeat_at >= self._get_interval()
            or (contact is not None and contact.relayed_at > self._relayed_at)
        ):
            self._heartbeat_at = now
            self._announced_version = version
            age_ms = self._get_age_ms()
            pulse = None
            if contact is not None:
                self._relayed_at = contact.relayed_at
                pulse = contact.get_pulse()
            needs_time = age_ms is not None or pulse is not None
            await self._conn.send(
                Heartbeat(
                    self._table.digest,
                    version.number,
                    age_ms,
                    int(now * 1000) if needs_time else None,
                    version.era,
                    version.carried,
                    version.since,
                    None if pulse is None else pulse.rank,
                    0 if pulse is None else round(pulse.age_seconds * 1000),
                )
            )

    def _get_interval(self) -> float:
        """Returns the seconds between heartbeats that carry no news."""
        if self._reader_contact is not None and (
            self._reader_contact.is_relaying()
        ):
            return _RELAY_INTERVAL_SECONDS
        return HEARTBEAT_INTERVAL_SECONDS

    def _get_age_ms(self) -> int | None:
        """Returns how long ago the configuration was confirmed, if known."""
        if self._currency is None or not self._currency.may_be_needed():
            return None
        age = self._currency.get_age()
        return None if math.isinf(age) else math.ceil(age * 1000)

    async def _receive_all(self) -> None:
        while True:
            try:
                message = await self._conn.receive_within(SILENCE_SECONDS)
            except MalformedMessageError as exc:
                self._ignore_malformed(exc)
                continue
            self._malformed_messages = 0
            self.received_at = self._clock.monotonic()
            match message:
                case Heartbeat():
                    self._repair_if_different(message)
                    version = message.get_version(
                        self._configuration.get_first_era()
                    )
                    self._request_if_newer(version)
                    delay = self._measure_delay(message)
                    self._confirm(message, version, delay)
                    self._record_reader(message, delay)
                case MemberUpdate(store_access=entries):
                    members = message.get_members()
                    await self._merge_each(members, self._merge_member)
                    await self._merge_each(
                        entries,
                        lambda entry: self._store_access.merge(
                            entry, self.peer_id
                        ),
                    )
                    notices: tuple[Notice, ...] = (
                        *message.rollout_phases,
                        *message.rollout_counts,
                    )
                    await self._merge_each(
                        notices,
                        lambda notice: self._rollouts.merge(
                            notice, self.peer_id
                        ),
                    )
                case CrashCounts(updates=updates):
                    await self._merge_each(updates, self._merge_crash_count)
                case ConfigurationRequest():
                    self._update_requested = True
                    self._wake.set()
                case ConfigurationUpdate():
                    self._adopt_configuration(message)
                case _:
                    raise self._conn.make_unexpected_error(
                        message, "control_link"
                    )

    async def _merge_each(
        self, entries: Sequence[_Entry], merge: Callable[[_Entry], object]
    ) -> None:
        """Merges the entries of a message, between which other tasks may run.

        Args:
            entries: The entries, of which a message may carry many.
            merge: Merges one entry.
        """
        for start in range(0, len(entries), _ENTRIES_PER_CHECKPOINT):
            batch = entries[start : start + _ENTRIES_PER_CHECKPOINT]
            for entry in batch:
                merge(entry)
            if len(batch) == _ENTRIES_PER_CHECKPOINT:
                await self._conn.share.pass_checkpoint(
                    len(batch) * _ENTRY_SECONDS
                )

    def _ignore_malformed(self, exc: MalformedMessageError) -> None:
        """Ignores a message that can't be decoded.

        Those behind it may be valid, for example heartbeats, and the neighbour
        would send the same message over the next link.

        Raises:
            MalformedMessageError: There was no valid message between this one
                and many others.
        """
        self._malformed_messages += 1
        if self._malformed_messages > _MAX_MALFORMED_MESSAGES:
            raise exc
        if self._rejected.add(("message", exc.detail)):
            _log.warn("message_malformed", peer=self.peer_id, reason=exc.detail)

    def _merge_member(self, member: Member) -> None:
        if not self._table.is_news(member):
            return
        problem = find_member_problem(member, self._is_valid_address)
        if problem is None:
            self._table.merge(member, self.peer_id)
            if member.node_id == self.peer_id:
                self._return_departure()
            return
        name = member.node_id[:_LOGGED_NAME_LENGTH]
        if self._rejected.add(("member", name)):
            _log.warn(
                "member_invalid",
                member=name,
                peer=self.peer_id,
                reason=problem,
            )

    def _merge_crash_count(self, update: CrashUpdate) -> None:
        problem = find_crash_update_problem(update)
        if problem is None:
            self._crashes.merge(update)
            return
        name = update.fingerprint[:_LOGGED_NAME_LENGTH]
        if self._rejected.add(("crashes", name)):
            _log.warn("crash_count_invalid", peer=self.peer_id, reason=problem)

    def _return_departure(self) -> None:
        """Sends a restarted neighbour the departure of its instance."""
        entry = self._table.get_replaced_departure(self.peer_id)
        if entry is not None and entry != self._returned_entry:
            self._returned_entry = entry
            self._replaced_entries.append(entry)
            self._wake.set()

    def _repair_if_different(self, heartbeat: Heartbeat) -> None:
        """Sends the whole member table if the neighbour's digest differs.

        The first difference on a link is repaired immediately, later ones
        only if they persist.
        """
        if heartbeat.members_digest == self._table.digest:
            self._consecutive_differences = 0
            return
        self._consecutive_differences += 1
        never_repaired = self._repaired_at == float("-inf")
        now = self._clock.monotonic()
        if never_repaired or (
            self._consecutive_differences >= _DIFFERENCES_BEFORE_REPAIR
            and now - self._repaired_at >= _REPAIR_INTERVAL_SECONDS
        ):
            self._repaired_at = now
            self._consecutive_differences = 0
            for member in self._table:
                self.enqueue(member)

    def _get_own_version(self) -> StateVersion:
        accepted = self._configuration.get_accepted()
        return accepted.state_version if accepted else NO_STATE

    def _request_if_newer(self, version: StateVersion) -> None:
        """Requests a version from the neighbour if it is newer.

        One that this link has brought already was invalid, or brought nothing
        new although it is of another era.
        """
        if version == self._received_version:
            return
        if self._get_own_version().lacks(
            version
        ) and self._requests.should_request(version):
            self._version_to_request = version
            self._wake.set()

    def _measure_delay(self, heartbeat: Heartbeat) -> float:
        """Returns how much longer a message took than the fastest one."""
        # Nodes of an earlier release don't send the time.
        if heartbeat.sent_ms is None:
            return 0.0
        return self._transit_delay.measure(
            heartbeat.sent_ms / 1000, self.received_at
        )

    def _record_reader(self, heartbeat: Heartbeat, delay: float) -> None:
        """Records how long ago the neighbour knew of a reader of the store."""
        # Nodes of an earlier release pass no pulses on.
        if self._reader_contact is None or heartbeat.era is None:
            return
        pulse = None
        if heartbeat.reader_rank is not None:
            age = max(0, heartbeat.reader_age_ms) / 1000 + delay
            pulse = ReaderPulse(heartbeat.reader_rank, age)
        self._reader_contact.record(pulse)

    def _confirm(
        self, heartbeat: Heartbeat, version: StateVersion, delay: float
    ) -> None:
        """Applies the neighbour's confirmation of the configuration.

        One of a version that this node doesn't hold yet says nothing about the
        version that it holds. The age has grown while the message was on its
        way, for seconds if the process was paused.
        """
        age_ms = heartbeat.configuration_age_ms
        if self._currency is None or age_ms is None:
            return
        if not self._get_own_version().lacks(version):
            self._currency.confirm(age_ms / 1000 + delay)

    def _adopt_configuration(self, update: ConfigurationUpdate) -> None:
        version = update.get_version(self._configuration.get_first_era())
        self._received_version = version
        if not self._get_own_version().lacks(version):
            return
        try:
            self._configuration.adopt_text(
                version, update.get_text(), update.as_of
            )
        except (ConfigurationError, ValueError) as exc:
            # The neighbour, perhaps of another release, would send it over the
            # next link too. Other links or the store may have a valid one.
            _log.warn(
                "configuration_unusable",
                era=version.era,
                version=version.number,
                peer=self.peer_id,
                reason=exc,
            )
