"""What a node has read of the operators' topic."""

from collections.abc import Iterable
from typing import Self

from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.exceptions import ConfigurationError
from rhubarbpaddle.platform.configuration_document import (
    parse_configuration_document,
)
from rhubarbpaddle.platform.keyed_record import KeyedRecord
from rhubarbpaddle.platform.newest_records import NewestRecords
from rhubarbpaddle.platform.rollout_order_document import ORDER_PREFIX
from rhubarbpaddle.platform.rollout_orders import RolloutOrders
from rhubarbpaddle.platform.store_configuration_state import (
    CONFIGURATION_KEY,
    WITHDRAWAL_PREFIX,
    StoreConfigurationState,
)
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.telemetry import get_logger

_log = get_logger("configuration")


class StoreReading:
    """Holds the newest record of each key, up to an offset of one era.

    Attributes:
        era: The era of the store.
        end: The offset after the last record.
    """

    def __init__(self, era: int, end: int, began_at: float) -> None:
        """Creates a reading without records.

        Args:
            era: The era of the store.
            end: The offset after the last record.
            began_at: Monotonic seconds at which the era was first seen, or
                minus infinity if no earlier one was.
        """
        self.era = era
        self.end = end
        self._began_at = began_at
        self._records: dict[str, bytes] = {}
        self._deleted: set[str] = set()
        self._orders = RolloutOrders()
        self._document: str | None = None
        self._configuration: RoutingConfiguration | None = None

    @property
    def position(self) -> tuple[int, int]:
        """The era and the offset after the last record."""
        return self.era, self.end

    @classmethod
    def from_newest(
        cls,
        newest: NewestRecords,
        known: Iterable[ObservedOrder],
        now: float,
        began_at: float,
    ) -> Self:
        """Creates a reading from the newest record of each key.

        Args:
            newest: The records.
            known: Orders whose ages are known.
            now: Monotonic seconds.
            began_at: See `__init__`.
        """
        reading = cls(newest.era, newest.end, began_at)
        reading._records = {
            record.key: record.value for record in newest.records
        }
        reading._orders.adopt(known)
        reading._orders.replace(newest.records, now)
        return reading

    @classmethod
    def from_state(cls, state: StoreConfigurationState) -> Self:
        """Creates the reading that a peer's state is based on."""
        version = state.state_version
        reading = cls(version.era, version.number, state.era_began_at)
        reading._records = state.get_records()
        reading._deleted.update(state.deleted)
        reading.adopt_orders(state)
        reading._document = state.document
        reading._configuration = state.configuration
        return reading

    def apply(
        self, records: Iterable[KeyedRecord], end: int, now: float
    ) -> None:
        """Applies records that have just been written.

        Args:
            records: The records from the end of this reading on.
            end: The offset after the last of them.
            now: Monotonic seconds.
        """
        for record in records:
            self._orders.apply(record, now)
            if record.value:
                self._records[record.key] = record.value
                self._deleted.discard(record.key)
            else:
                self._records.pop(record.key, None)
                self._deleted.add(record.key)
        self.end = end

    def adopt_orders(self, state: StoreConfigurationState) -> None:
        """Takes the numbers and ages of orders over from a merged state."""
        self._orders.adopt(
            entry
            for entry in state.orders
            if ORDER_PREFIX + entry.order.service not in state.lost
        )

    def make_state(self) -> StoreConfigurationState:
        """Returns the state that the records amount to."""
        self._parse_configuration()
        return StoreConfigurationState(
            StateVersion(self.era, self.end, since=self.era),
            self._document,
            self._configuration,
            self._orders.list_entries(),
            frozenset(
                key
                for key in self._records
                if key.startswith(WITHDRAWAL_PREFIX)
            ),
            deleted=frozenset(self._deleted),
            era_began_at=self._began_at,
        )

    def _parse_configuration(self) -> None:
        """Parses the configuration if its record has changed.

        If the store holds none, or an invalid one, the last one stays.
        """
        record = self._records.get(CONFIGURATION_KEY)
        document = None if record is None else record.decode("utf-8", "replace")
        if document is not None and document == self._document:
            return
        try:
            if document is None:
                raise ConfigurationError(
                    ["the store holds no configuration"],
                    step="parse_configuration",
                )
            self._configuration = parse_configuration_document(document, ())
            self._document = document
        except ConfigurationError as exc:
            _log.warn(
                "configuration_invalid",
                era=self.era,
                offset=self.end,
                error=exc,
            )
