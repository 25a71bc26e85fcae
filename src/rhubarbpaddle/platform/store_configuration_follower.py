"""Keeps the configuration current from the store and from peers."""

import random
from collections.abc import Callable
from datetime import timedelta

import trio

from rhubarbpaddle.backoff import Backoff
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.membership import ReaderPosition
from rhubarbpaddle.membership.configuration_currency import (
    ConfigurationCurrency,
)
from rhubarbpaddle.peer.versioned_text import VersionedText
from rhubarbpaddle.platform.aged_configuration_text import (
    AgedConfigurationText,
)
from rhubarbpaddle.platform.history_lost import HistoryLostError
from rhubarbpaddle.platform.poll_schedule import PollSchedule
from rhubarbpaddle.platform.reader_duty import ReaderDuty
from rhubarbpaddle.platform.state_in_force import StateInForce
from rhubarbpaddle.platform.store_client import (
    RESPONSE_TIMEOUT,
    StoreClient,
)
from rhubarbpaddle.platform.store_configuration_state import (
    StoreConfigurationState,
)
from rhubarbpaddle.platform.store_reading import StoreReading
from rhubarbpaddle.platform.store_silent import StoreSilentError
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.telemetry import get_logger

_TOPIC = "keyed.op"
# Half of the 2 s within which an accepted configuration must be in force.
_BACKOFF_LIMIT = timedelta(seconds=1)

_log = get_logger("configuration")


class StoreConfigurationFollower:
    """Holds the configuration in force, from the store or from peers.

    Attributes:
        store_responded: Set once the store has responded to a read.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[RoutingConfiguration], None],
        on_new_era: Callable[[], None],
        duty: ReaderDuty,
        schedule: PollSchedule,
        currency: ConfigurationCurrency,
        settling_time: timedelta,
    ) -> None:
        """Creates a follower without a configuration.

        Args:
            store: The platform's store.
            clock: The source of time.
            rng: The source of jitter for retries.
            on_change: Called with each configuration that comes into force.
            on_new_era: Called when the store has come back from an older copy.
            duty: Whether this node reads the store for others. If it doesn't,
                it reads the store only once and then receives changes from its
                peers.
            schedule: Determines how long the store holds reads.
            currency: Learns of each read by which the state is the newest.
            settling_time: How long operators may take to write again what the
                store has lost.
        """
        self._store = store
        self._clock = clock
        self._duty = duty
        self._schedule = schedule
        self._currency = currency
        self._in_force = StateInForce(
            clock, settling_time.total_seconds(), on_change, on_new_era
        )
        self.store_responded = trio.Event()
        self._backoff = Backoff(rng, _BACKOFF_LIMIT)
        self._unreachable_since: float | None = None
        self._was_reader = False
        self._retries_silence = False
        self._call_started_at = 0.0

    @property
    def state(self) -> StoreConfigurationState | None:
        """What is in force, as far as it is known; None before a read."""
        return self._in_force.state

    def is_reader(self) -> bool:
        """Returns whether this node reads the store for other nodes."""
        return self._duty.get_position() is not None

    def get_accepted(self) -> VersionedText | None:
        """Returns the state in force, to be sent to peers."""
        if self.state is None or self.state.configuration is None:
            return None
        return AgedConfigurationText(self.state, self._clock)

    def get_orders(self) -> tuple[ObservedOrder, ...]:
        """Returns the orders of roll-outs in force."""
        return self.state.orders if self.state else ()

    def get_version(self) -> int:
        """Returns the offset up to which the state was read, or 0."""
        return self.state.state_version.number if self.state else 0

    def get_era(self) -> int | None:
        """Returns the era of the state in force, or None before a read."""
        return self.state.state_version.era if self.state else None

    def get_first_era(self) -> int:
        """Returns the first era that this node has seen, or 0."""
        return self._in_force.first_era

    def get_configuration(self) -> RoutingConfiguration | None:
        """Returns the configuration in force."""
        return self.state.configuration if self.state else None

    def adopt_text(self, version: StateVersion, text: str, as_of: int) -> bool:
        """Merges a peer's state into the one in force.

        Returns:
            Whether what is in force has changed.

        Raises:
            ConfigurationError: The text is invalid.
        """
        now = self._clock.monotonic()
        return self._in_force.adopt(
            StoreConfigurationState.from_text(text, version, now)
        )

    async def run(self) -> None:
        """Reads the topic until cancelled."""
        while True:
            position = self._duty.choose_position()
            self._log_reader_change(position is not None)
            self._call_started_at = self._clock.monotonic()
            if self._duty.has_contact():
                self._in_force.drop_lost_keys()
            reading = self._in_force.reading
            wait = timedelta()
            try:
                if reading is None:
                    await self._read_all()
                elif position is None and not (
                    self._retries_silence or self._duty.is_probe_due()
                ):
                    await self._clock.sleep(self._duty.get_check_delay())
                    continue
                else:
                    wait = self._choose_wait(position)
                    await self._read_new_records(reading, wait)
                self._record_success()
                if self._in_force.reading is not None:
                    self._confirm(wait)
                self._backoff.reset()
            except StoreSilentError as exc:
                # The timeout takes the place of a backoff. If only the
                # connection was silent, a retry is faster than another reader.
                self._retries_silence = not self._retries_silence
                self._record_failure(exc)
            except RhubarbpaddleError as exc:
                self._record_failure(exc)
                await self._clock.sleep(self._backoff.next_delay())

    def _choose_wait(self, position: ReaderPosition | None) -> timedelta:
        """Returns how long the store should hold the next read.

        After a failure, a response that may be held can't be told from another
        failure, so the store has to respond at once.
        """
        if position is None or self._unreachable_since is not None:
            return timedelta()
        return self._schedule.get_wait(position, self._clock.now())

    def _log_reader_change(self, is_reader: bool) -> None:
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            _log.info("store_reader_changed", reader=is_reader)

    async def _read_all(self) -> None:
        newest = await self._store.read_newest(_TOPIC)
        self.store_responded.set()
        self._in_force.take_newest(newest, self._get_call_ms())

    async def _read_new_records(
        self, reading: StoreReading, wait: timedelta
    ) -> None:
        """Reads the records that follow those of a reading.

        Args:
            reading: What this node has read.
            wait: How long the store may hold the read.
        """
        era = reading.era
        try:
            result = await self._store.read(_TOPIC, reading.end, wait)
        except HistoryLostError:
            self._in_force.discard_reading(reading, "records_deleted")
            return
        self._in_force.take_records(reading, era, result, self._get_call_ms())

    def _confirm(self, wait: timedelta) -> None:
        """Records that the state was the newest when the store responded.

        Args:
            wait: How long the store might hold the call.
        """
        elapsed = self._clock.monotonic() - self._call_started_at
        # A response that comes later than any timeout was read after a pause
        # of the process, and may be as old as the pause.
        if elapsed <= (wait + RESPONSE_TIMEOUT).total_seconds():
            self._currency.confirm()

    def _record_success(self) -> None:
        """Records that a call to the store has succeeded."""
        self._retries_silence = False
        self._duty.record_success()
        if self._unreachable_since is not None:
            seconds = self._clock.monotonic() - self._unreachable_since
            _log.info("store_regained", lost_ms=round(seconds * 1000))
            self._unreachable_since = None

    def _record_failure(self, exc: RhubarbpaddleError) -> None:
        self._duty.record_failure(exc)
        if self._unreachable_since is None:
            self._unreachable_since = self._clock.monotonic()
            _log.warn(
                "store_lost",
                error=exc,
                call_ms=self._get_call_ms(),
                reader=self._was_reader,
            )

    def _get_call_ms(self) -> int:
        """Returns how long the current call to the store has taken."""
        seconds = self._clock.monotonic() - self._call_started_at
        return round(seconds * 1000)
