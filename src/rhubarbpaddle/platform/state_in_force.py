"""What this node has in force of what operators have written."""

import math
from collections.abc import Callable

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.platform.log_records import LogRecords
from rhubarbpaddle.platform.newest_records import NewestRecords
from rhubarbpaddle.platform.state_merge import merge_states
from rhubarbpaddle.platform.store_configuration_state import (
    StoreConfigurationState,
)
from rhubarbpaddle.platform.store_reading import StoreReading
from rhubarbpaddle.telemetry import get_logger

_log = get_logger("configuration")


class StateInForce:
    """Merges what this node reads of the store and what its peers send.

    Attributes:
        state: The state in force, as far as it is known; None before the first
            read.
        reading: What the state is known to include of the store's present era;
            None if all keys have to be read.
        first_era: The first era that was seen, or 0.
    """

    def __init__(
        self,
        clock: Clock,
        settling_seconds: float,
        on_change: Callable[[RoutingConfiguration], None],
        on_new_era: Callable[[], None],
    ) -> None:
        """Creates an object without a state.

        Args:
            clock: The source of time.
            settling_seconds: How long operators may take to write again what
                the store has lost.
            on_change: Called with each configuration that comes into force.
            on_new_era: Called when the store has come back from an older copy.
        """
        self._clock = clock
        self._settling_seconds = settling_seconds
        self._on_change = on_change
        self._on_new_era = on_new_era
        self.state: StoreConfigurationState | None = None
        self.reading: StoreReading | None = None
        self.first_era = 0

    def take_newest(self, newest: NewestRecords, call_ms: int) -> None:
        """Applies the newest record of each key.

        Args:
            newest: The records.
            call_ms: How long the call to the store took.
        """
        now = self._clock.monotonic()
        began_at = -math.inf
        if self.state is not None:
            began_at = self.state.era_began_at
            if self.state.state_version.era < newest.era:
                began_at = now
        orders = self.state.orders if self.state is not None else ()
        self.reading = StoreReading.from_newest(newest, orders, now, began_at)
        self._merge(self.reading.make_state(), "store", call_ms)

    def take_records(
        self, start: StoreReading, era: int, result: LogRecords, call_ms: int
    ) -> None:
        """Applies the records that follow those of a reading.

        Args:
            start: The reading when the call began. A peer's state may have
                replaced it since.
            era: Its era at that time.
            result: The records.
            call_ms: How long the call to the store took.
        """
        current = self.reading
        if result.era != era or current is None or current.era != era:
            # Offsets were given out again, so that the records need not be
            # those that follow.
            if current is start:
                self.discard_reading(start, "new_era")
            return
        records = [
            record for record in result.records if record.offset >= current.end
        ]
        if records:
            current.apply(records, result.end, self._clock.monotonic())
            self._merge(current.make_state(), "store", call_ms)

    def discard_reading(self, start: StoreReading, reason: str) -> None:
        """Makes the next read one of all keys.

        Args:
            start: The reading that can't be continued; another one that has
                replaced it stays.
            reason: Why, for the log.
        """
        if self.reading is start:
            self.reading = None
            _log.info(
                "configuration_history_lost",
                era=start.era,
                offset=start.end,
                reason=reason,
            )

    def adopt(self, state: StoreConfigurationState) -> bool:
        """Merges a peer's state into the one in force.

        Returns:
            Whether what is in force has changed.
        """
        if (
            self.reading is not None
            and self.reading.position < state.state_version.position
        ):
            self.reading = StoreReading.from_state(state)
        return self._merge(state, "peer", 0)

    def drop_lost_keys(self) -> None:
        """Drops what the store has lost and not got again for long."""
        state = self.state
        if state is not None and (state.lost or state.state_version.carried):
            self._merge(state, "settled", 0)

    def _merge(
        self, state: StoreConfigurationState, source: str, call_ms: int
    ) -> bool:
        """Merges a state into the one in force.

        Returns:
            Whether what is in force has changed.
        """
        current = self.state
        merged = merge_states(
            state if current is None else current,
            state,
            self._clock.monotonic(),
            self._settling_seconds,
        )
        reading = self.reading
        if (
            reading is not None
            and reading.position == merged.state_version.position
        ):
            reading.adopt_orders(merged)
        if merged == current:
            return False
        self.state = merged
        version, cfg = merged.state_version, merged.configuration
        self._log_differences(current, state, merged, source)
        if current is None:
            self.first_era = version.era
        elif version.era > current.state_version.era:
            self._on_new_era()
        if cfg is not None:
            _log.info(
                "configuration_in_force",
                version=cfg.version,
                era=version.era,
                offset=version.number,
                source=source,
                call_ms=call_ms,
                routes=len(cfg.routes),
                withdrawn_zones=",".join(sorted(cfg.withdrawn_zones)),
            )
            self._on_change(cfg)
        return True

    def _log_differences(
        self,
        current: StoreConfigurationState | None,
        state: StoreConfigurationState,
        merged: StoreConfigurationState,
        source: str,
    ) -> None:
        """Logs what a state has not changed although it is different there."""
        version, cfg = merged.state_version, merged.configuration
        if (
            cfg is not None
            and state.configuration is not None
            and state.configuration.version < cfg.version
        ):
            _log.warn(
                "configuration_older",
                version=state.configuration.version,
                held=cfg.version,
                source=source,
            )
        lost = merged.lost - (current.lost if current else frozenset())
        if lost:
            _log.notice(
                "store_keys_lost",
                era=version.era,
                offset=version.number,
                keys=",".join(sorted(lost)),
            )
