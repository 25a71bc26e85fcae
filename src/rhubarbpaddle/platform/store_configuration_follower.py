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
from rhubarbpaddle.exceptions import ConfigurationError, RhubarbpaddleError
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
from rhubarbpaddle.platform.rollout_orders import RolloutOrders
from rhubarbpaddle.platform.store_client import (
    RESPONSE_TIMEOUT,
    StoreClient,
)
from rhubarbpaddle.platform.store_configuration_state import (
    StoreConfigurationState,
)
from rhubarbpaddle.platform.store_silent import StoreSilentError
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.telemetry import get_logger

_TOPIC = "keyed.op"
# How often a node checks whether it has to replace a reader that failed.
_READER_CHECK_INTERVAL = timedelta(milliseconds=250)
# Half of the 2 s within which an accepted configuration must be in force.
_BACKOFF_LIMIT = timedelta(seconds=1)

_log = get_logger("configuration")


class StoreConfigurationFollower:
    """Holds the configuration in force, from the store or from peers.

    Attributes:
        store_responded: Set once the store has responded to a read.
        state: The configuration and withdrawn zones in force, or None before
            the first read.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[RoutingConfiguration], None],
        duty: ReaderDuty,
        schedule: PollSchedule,
        currency: ConfigurationCurrency,
    ) -> None:
        """Creates a follower without a configuration.

        Args:
            store: The platform's store.
            clock: The source of time.
            rng: The source of jitter for retries.
            on_change: Called with each configuration that comes into force.
            duty: Whether this node reads the store for others. If it doesn't,
                it reads the store only once and then receives changes from its
                peers.
            schedule: Determines how long the store holds reads.
            currency: Learns of each read by which the state is the newest.
        """
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._duty = duty
        self._schedule = schedule
        self._currency = currency
        self.store_responded = trio.Event()
        self._backoff = Backoff(rng, _BACKOFF_LIMIT)
        self._records: dict[str, bytes] = {}
        self._orders = RolloutOrders()
        self._end_offset: int | None = None
        self._unreachable_since: float | None = None
        self._was_reader = False
        self._retries_silence = False
        self._call_started_at = 0.0
        self.state: StoreConfigurationState | None = None

    def is_reader(self) -> bool:
        """Returns whether this node reads the store for other nodes."""
        return self._duty.get_position() is not None

    def get_accepted(self) -> VersionedText | None:
        """Returns the state in force, to be sent to peers."""
        if self.state is None or not self.state.orders:
            return self.state
        return AgedConfigurationText(self.state, self._clock)

    def get_orders(self) -> tuple[ObservedOrder, ...]:
        """Returns the orders of roll-outs in force."""
        return self.state.orders if self.state else ()

    def get_version(self) -> int:
        """Returns the offset up to which the state was read, or 0."""
        return self.state.version if self.state else 0

    def get_configuration(self) -> RoutingConfiguration | None:
        """Returns the configuration in force."""
        return self.state.configuration if self.state else None

    def adopt_text(self, version: int, text: str, as_of: int) -> bool:
        """Adopts a peer's state if it is newer.

        Returns:
            Whether the state was adopted.

        Raises:
            ConfigurationError: The text is invalid.
        """
        if version <= self.get_version():
            return False
        state = StoreConfigurationState.from_text(
            text, version, self._clock.monotonic()
        )
        if not self._put_in_force(state, "peer"):
            return False
        if self._end_offset is not None and self._end_offset < version:
            self._records = state.get_records()
            self._orders.adopt(state.orders)
            self._end_offset = version
        return True

    async def run(self) -> None:
        """Reads the topic until cancelled."""
        while True:
            position = self._duty.get_position()
            self._log_reader_change(position is not None)
            self._call_started_at = self._clock.monotonic()
            wait = timedelta()
            try:
                if self._end_offset is None:
                    await self._read_all()
                elif position is None and not (
                    self._retries_silence or self._duty.is_probe_due()
                ):
                    await self._clock.sleep(_READER_CHECK_INTERVAL)
                    continue
                else:
                    wait = self._choose_wait(position)
                    await self._read_new_records(self._end_offset, wait)
                self._record_success(wait)
                self._backoff.reset()
            except HistoryLostError:
                _log.info("configuration_history_lost", offset=self._end_offset)
                self._end_offset = None
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
        self._records = {record.key: record.value for record in newest.records}
        self._orders.adopt(self.get_orders())
        self._orders.replace(newest.records, self._clock.monotonic())
        self._end_offset = newest.end
        self._apply_records()

    async def _read_new_records(self, start: int, wait: timedelta) -> None:
        end, records = await self._store.read(_TOPIC, start, wait)
        if self._end_offset != start:
            # A newer state of a peer was adopted during the read; the records
            # that it includes are skipped.
            records = (
                [
                    record
                    for record in records
                    if record.offset >= self._end_offset
                ]
                if self._end_offset is not None
                else []
            )
        if not records:
            return
        now = self._clock.monotonic()
        for record in records:
            self._orders.apply(record, now)
            if record.value:
                self._records[record.key] = record.value
            else:
                self._records.pop(record.key, None)
        self._end_offset = max(end, self._end_offset or 0)
        self._apply_records()

    def _apply_records(self) -> None:
        assert self._end_offset is not None
        if self._end_offset <= self.get_version():
            return
        try:
            state = StoreConfigurationState.from_records(
                self._records,
                self._end_offset,
                self._orders.list_entries(),
                self._clock.monotonic(),
            )
        except ConfigurationError as exc:
            _log.warn(
                "configuration_invalid", offset=self._end_offset, error=exc
            )
            return
        self._put_in_force(state, "store")

    def _put_in_force(
        self, state: StoreConfigurationState, source: str
    ) -> bool:
        current = self.get_configuration()
        cfg = state.configuration
        if current is not None and cfg.version < current.version:
            _log.warn(
                "configuration_older",
                version=cfg.version,
                held=current.version,
                source=source,
            )
            return False
        self.state = state
        _log.info(
            "configuration_in_force",
            version=cfg.version,
            offset=state.version,
            source=source,
            call_ms=self._get_call_ms() if source == "store" else 0,
            routes=len(cfg.routes),
            withdrawn_zones=",".join(sorted(cfg.withdrawn_zones)),
        )
        self._on_change(cfg)
        return True

    def _record_success(self, wait: timedelta) -> None:
        """Records that a call to the store has succeeded.

        Args:
            wait: How long the store might hold the call.
        """
        self._retries_silence = False
        self._duty.record_success()
        elapsed = self._clock.monotonic() - self._call_started_at
        # A response that comes later than any timeout was read after a pause
        # of the process, and may be as old as the pause.
        if elapsed <= (wait + RESPONSE_TIMEOUT).total_seconds():
            self._currency.confirm()
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
