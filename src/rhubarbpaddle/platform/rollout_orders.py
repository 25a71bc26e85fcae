"""The orders of roll-outs that this node has read from the store."""

from collections.abc import Iterable

from rhubarbpaddle.platform.keyed_record import KeyedRecord
from rhubarbpaddle.platform.rollout_order_document import (
    ORDER_PREFIX,
    parse_order,
)
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.telemetry import get_logger

_log = get_logger("configuration")


class RolloutOrders:
    """Holds the newest order of each service and since when it is known."""

    def __init__(self) -> None:
        self._entries: dict[str, ObservedOrder] = {}

    def list_entries(self) -> tuple[ObservedOrder, ...]:
        """Returns the orders, sorted by service."""
        return tuple(self._entries[key] for key in sorted(self._entries))

    def replace(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Replaces the orders by the newest record of each key.

        Args:
            records: The records of the topic.
            now: Monotonic seconds.
        """
        known, self._entries = self._entries, {}
        for record in records:
            self._apply(record, now, is_exact=False)
        for key, entry in self._entries.items():
            earlier = known.get(key)
            if earlier is not None and earlier.order == entry.order:
                self._entries[key] = entry.merge(earlier)

    def apply(self, record: KeyedRecord, now: float) -> None:
        """Applies a record that has just been written.

        Args:
            record: A record of the topic.
            now: Monotonic seconds.
        """
        self._apply(record, now, is_exact=True)

    def adopt(self, entries: Iterable[ObservedOrder]) -> None:
        """Replaces the orders by those of a newer state of a peer."""
        self._entries = {
            ORDER_PREFIX + entry.order.service: entry for entry in entries
        }

    def _apply(self, record: KeyedRecord, now: float, is_exact: bool) -> None:
        if not record.key.startswith(ORDER_PREFIX):
            return
        self._entries.pop(record.key, None)
        if not record.value:
            return
        try:
            order = parse_order(record)
        except (ValueError, KeyError, TypeError, OverflowError) as exc:
            _log.warn(
                "rollout_order_invalid",
                key=record.key,
                offset=record.offset,
                reason=repr(exc),
            )
            return
        self._entries[record.key] = ObservedOrder(order, now, is_exact)
