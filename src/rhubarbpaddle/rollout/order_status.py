"""The state of one order in the store."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.rollout.contact_watch import ContactWatch
from rhubarbpaddle.rollout.log_end import LogEnd
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.rollout.order_phase import OrderPhase
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase
from rhubarbpaddle.rollout.rollout_schedule import RolloutSchedule
from rhubarbpaddle.rollout.rollout_state import RolloutState
from rhubarbpaddle.rollout.rollout_status import RolloutStatus
from rhubarbpaddle.rollout.status_store import StatusStore

# A decision is not written if it is older than this, as after a pause of the
# process.
_MAX_DECISION_AGE_SECONDS = 2.5


class OrderStatus:
    """Adopts what the store holds about an order, and writes its next state.

    The status is read before each write and written only if nothing was
    written since, so that a terminal state is never replaced and a node that is
    killed at any point can be replaced.
    """

    def __init__(
        self,
        entry: ObservedOrder,
        phase: OrderPhase,
        schedule: RolloutSchedule,
        contact: ContactWatch,
        store: StatusStore,
        clock: Clock,
    ) -> None:
        """Creates access to the state of an order.

        Args:
            entry: The order.
            phase: Its phase, which follows the state.
            schedule: Its schedule, which a status may show to be older.
            contact: Gets each successful read.
            store: The store of the states.
            clock: The source of time.
        """
        self._entry = entry
        self._order = entry.order
        self._phase = phase
        self._schedule = schedule
        self._contact = contact
        self._store = store
        self._clock = clock
        self._started_at: float | None = None
        self._read_at = float("-inf")

    async def read(self) -> tuple[bool, LogEnd]:
        """Reads the status and adopts one of this order, or of a later one.

        Returns:
            Whether there was such a status, and the end of the log.

        Raises:
            RhubarbpaddleError: The store failed; see `StatusStore`.
        """
        status, end = await self._read()
        return self._adopt(status), end

    async def check(self, interval: float) -> None:
        """Reads the status if it has not been read for a while.

        Args:
            interval: The seconds between reads.

        Raises:
            RhubarbpaddleError: The store failed; see `StatusStore`.
        """
        if self._clock.monotonic() - self._read_at >= interval:
            await self.read()

    async def write_running(self, end: LogEnd) -> None:
        """Writes that the roll-out runs, and begins the trial.

        Args:
            end: The end of the log when no status of the order was in it.

        Raises:
            RhubarbpaddleError: The store failed; see `StatusStore`.
        """
        self._started_at = self._clock.now().timestamp()
        age = self._clock.monotonic() - self._entry.observed_at
        running = RolloutStatus(
            self._order.service,
            self._order.target_version,
            RolloutState.RUNNING,
            self._order.number,
            self._started_at - age,
        )
        if await self._store.write(running, end):
            self._phase.announce(RolloutPhase.TRIAL, "order")

    async def write_terminal(self, state: RolloutState) -> None:
        """Writes a terminal state unless there is one.

        Args:
            state: The state.

        Raises:
            RhubarbpaddleError: The store failed; see `StatusStore`.
        """
        phase = self._phase.get()
        decided_at = self._clock.monotonic()
        status, end = await self._read()
        if status is not None and status.order >= self._order.number:
            self._adopt(status)
            if status.state is not RolloutState.RUNNING:
                return
            if status.order > self._order.number:
                return
        age = self._clock.monotonic() - decided_at
        if self._phase.get() is not phase or age > _MAX_DECISION_AGE_SECONDS:
            return
        terminal = RolloutStatus(
            self._order.service,
            self._order.target_version,
            state,
            self._order.number,
            status.started_at if status else self._started_at,
        )
        terminal_phase = state.get_terminal_phase()
        if await self._store.write(terminal, end) and terminal_phase:
            self._phase.announce(terminal_phase, "written")

    def _adopt(self, status: RolloutStatus | None) -> bool:
        """Adopts a status of this order, or of a later one.

        Returns:
            Whether there was such a status.
        """
        if status is None or status.order < self._order.number:
            return False
        if status.order > self._order.number:
            # The order that is in force here has been replaced.
            return True
        phase = status.state.get_terminal_phase()
        if phase is not None:
            self._phase.announce(phase, "status")
            return True
        if not self._entry.is_exact and status.started_at is not None:
            age = self._clock.now().timestamp() - status.started_at
            now = self._clock.monotonic()
            self._schedule.set_start(min(self._entry.observed_at, now - age))
        if self._phase.get() is None:
            self._phase.announce(RolloutPhase.TRIAL, "status")
        return True

    async def _read(self) -> tuple[RolloutStatus | None, LogEnd]:
        self._read_at = self._clock.monotonic()
        result = await self._store.read(self._order.service)
        self._contact.record_store_read()
        return result
