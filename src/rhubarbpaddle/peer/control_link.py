"""Control connection between two neighbours of the overlay."""

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import ConfigurationError, ProtocolError
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.strike_update import StrikeUpdate
from rhubarbpaddle.membership import Member, MemberTable
from rhubarbpaddle.peer.configuration_requests import ConfigurationRequests
from rhubarbpaddle.peer.configuration_source import ConfigurationSource
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import (
    ConfigurationRequest,
    ConfigurationUpdate,
    Heartbeat,
    MemberUpdate,
    Strikes,
)
from rhubarbpaddle.peer.messages.member_update import MEMBERS_PER_MESSAGE
from rhubarbpaddle.telemetry import get_logger

HEARTBEAT_SECONDS = 0.5
# Four missed heartbeats end the link.
SILENCE_SECONDS = 2.0
# Tables differ briefly after each change. The whole table is sent only if the
# digests differ in several consecutive heartbeats, and at most this often.
_REPAIR_SECONDS = 10.0
_DIFFERENCE_HEARTBEATS = 4

_log = get_logger("control")


class ControlLink:
    """Exchanges members, crash counts and configuration with one neighbour.

    Attributes:
        peer_id: The neighbour's node id.
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
    ) -> None:
        self.peer_id = peer_id
        self._conn = conn
        self._table = table
        self._configuration = configuration
        self._requests = requests
        self._clock = clock
        self._crashes = crashes
        self._pending: dict[str, Member] = {}
        self._pending_strikes = {
            update.fingerprint: update for update in crashes.get_updates()
        }
        self._wake = trio.Event()
        self._wanted_version = 0
        self._is_asked = False
        self._differences = 0
        self._repaired = float("-inf")

    def enqueue(self, member: Member) -> None:
        """Queues a member table entry and wakes the sender."""
        self._pending[member.node_id] = member
        self._wake.set()

    def enqueue_strike(self, update: StrikeUpdate) -> None:
        """Queues the crash count of a request and wakes the sender."""
        self._pending_strikes[update.fingerprint] = update
        self._wake.set()

    def wake(self) -> None:
        """Sends pending changes without waiting for the next heartbeat."""
        self._wake.set()

    async def run(self) -> None:
        """Exchanges messages until the link breaks.

        Raises:
            RhubarbpaddleError: The connection closed, no message arrived for
                `SILENCE_SECONDS`, or a message was unexpected or invalid.
        """
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_all, nursery.cancel_scope)
            try:
                await self._receive_all()
            except Exception as exc:
                failure = exc
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _send_all(self, scope: trio.CancelScope) -> None:
        try:
            while True:
                await self._send_pending()
                with trio.move_on_after(HEARTBEAT_SECONDS):
                    await self._wake.wait()
                self._wake = trio.Event()
        except Exception as exc:
            _log.debug("control_send_failed", peer=self.peer_id, reason=exc)
            scope.cancel()

    async def _send_pending(self) -> None:
        pending, self._pending = self._pending, {}
        members = tuple(pending.values())
        for start in range(0, len(members), MEMBERS_PER_MESSAGE):
            part = members[start : start + MEMBERS_PER_MESSAGE]
            await self._conn.send(MemberUpdate(part))
        if self._pending_strikes:
            strikes = tuple(self._pending_strikes.values())
            self._pending_strikes = {}
            await self._conn.send(Strikes(strikes))
        accepted = self._configuration.get_accepted()
        if self._is_asked and accepted is not None:
            self._is_asked = False
            await self._conn.send(ConfigurationUpdate.from_accepted(accepted))
        if self._wanted_version:
            await self._conn.send(ConfigurationRequest(self._wanted_version))
            self._wanted_version = 0
        await self._conn.send(
            Heartbeat(self._table.digest, self._get_version())
        )

    async def _receive_all(self) -> None:
        while True:
            message = await self._conn.receive_within(SILENCE_SECONDS)
            match message:
                case Heartbeat():
                    self._compare(message)
                    self._ask_for(message.configuration_version)
                case MemberUpdate(members=members):
                    for member in members:
                        self._table.merge(member, self.peer_id)
                case Strikes(updates=updates):
                    for update in updates:
                        self._crashes.merge(update)
                case ConfigurationRequest():
                    self._is_asked = True
                    self._wake.set()
                case ConfigurationUpdate():
                    self._adopt(message)
                case _:
                    raise self._conn.make_unexpected(message, "control_link")

    def _compare(self, heartbeat: Heartbeat) -> None:
        """Sends the whole member table if the neighbour's digest differs.

        The first difference on a link is repaired at once; later ones only
        if they persist.
        """
        if heartbeat.members_digest == self._table.digest:
            self._differences = 0
            return
        self._differences += 1
        first = self._repaired == float("-inf")
        now = self._clock.monotonic()
        if first or (
            self._differences >= _DIFFERENCE_HEARTBEATS
            and now - self._repaired >= _REPAIR_SECONDS
        ):
            self._repaired = now
            self._differences = 0
            for member in self._table:
                self.enqueue(member)

    def _get_version(self) -> int:
        accepted = self._configuration.get_accepted()
        return accepted.version if accepted else 0

    def _ask_for(self, version: int) -> None:
        """Requests a version from the neighbour if it is newer."""
        if version > self._get_version() and self._requests.may_ask(version):
            self._wanted_version = version
            self._wake.set()

    def _adopt(self, update: ConfigurationUpdate) -> None:
        if self._get_version() >= update.version:
            return
        try:
            self._configuration.adopt_text(
                update.version, update.get_text(), update.as_of
            )
        except (ConfigurationError, ValueError) as exc:
            raise ProtocolError(
                "the configuration is invalid",
                step="adopt_configuration",
                peer=self.peer_id,
            ) from exc
