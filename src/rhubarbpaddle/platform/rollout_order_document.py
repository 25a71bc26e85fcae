"""Parses orders of roll-outs, and encodes them for other nodes."""

import math
from datetime import timedelta
from typing import Any, TypedDict

from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.platform.keyed_record import KeyedRecord
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.rollout.rollout_order import RolloutOrder

ORDER_PREFIX = "rollout/"
_MAX_NAME_LENGTH = 255
_MAX_SECONDS = timedelta(days=365).total_seconds()


class OrderEntry(TypedDict):
    """An order in the text that nodes exchange.

    Attributes:
        service: The service.
        targetVersion: The version that is to receive all requests.
        durationS: The time within which the roll-out must end, in seconds.
        offset: The number of the order: the offset of its record, unless a
            drill of the store changed that.
        ageMs: Milliseconds since a node first read the record.
        exact: Whether that node saw the record being written.
    """

    service: str
    targetVersion: str
    durationS: float
    offset: int
    ageMs: int
    exact: bool


def parse_order(record: KeyedRecord) -> RolloutOrder:
    """Parses the record of an order.

    Raises:
        ValueError: A field has a wrong value.
        KeyError: A field is missing.
        TypeError: A field has a wrong type.
    """
    document: Any = decode_json(record.value)
    order = _parse_order(document, record.offset)
    if record.key != ORDER_PREFIX + order.service:
        raise ValueError(f"the service {order.service!r} differs from the key")
    return order


def make_order_entry(entry: ObservedOrder, now: float) -> OrderEntry:
    """Returns an order for the text that nodes exchange.

    Args:
        entry: The order.
        now: Monotonic seconds.
    """
    order = entry.order
    return OrderEntry(
        service=order.service,
        targetVersion=order.target_version,
        durationS=order.duration.total_seconds(),
        offset=order.number,
        ageMs=max(0, round((now - entry.observed_at) * 1000)),
        exact=entry.is_exact,
    )


def parse_order_entry(entry: OrderEntry, now: float) -> ObservedOrder:
    """Returns the order in a text that a node has sent.

    Args:
        entry: The order.
        now: Monotonic seconds.

    Raises:
        ValueError: A field has a wrong value.
        KeyError: A field is missing.
        TypeError: A field has a wrong type.
    """
    age = float(entry["ageMs"]) / 1000
    if not 0 <= age < math.inf:
        raise ValueError(f"ageMs is {entry['ageMs']}")
    return ObservedOrder(
        _parse_order(entry, int(entry["offset"])),
        now - age,
        bool(entry["exact"]),
    )


def _parse_order(document: Any, number: int) -> RolloutOrder:
    seconds = float(document["durationS"])
    if not 0 < seconds <= _MAX_SECONDS:
        raise ValueError(f"durationS is {seconds}")
    return RolloutOrder(
        service=_parse_name(document["service"]),
        target_version=_parse_name(document["targetVersion"]),
        duration=timedelta(seconds=seconds),
        number=number,
    )


def _parse_name(name: object) -> str:
    if not isinstance(name, str) or not 0 < len(name) <= _MAX_NAME_LENGTH:
        raise ValueError(f"{name!r} is not a name")
    return name
