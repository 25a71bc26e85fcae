"""Merges states of the operators' topic, also of different eras."""

import math
from collections.abc import Iterator

from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.platform.rollout_order_document import ORDER_PREFIX
from rhubarbpaddle.platform.store_configuration_state import (
    WITHDRAWAL_PREFIX,
    StoreConfigurationState,
)
from rhubarbpaddle.rollout.observed_order import ObservedOrder


def merge_states(
    first: StoreConfigurationState,
    second: StoreConfigurationState,
    now: float,
    settling_seconds: float,
) -> StoreConfigurationState:
    """Returns the state that includes two others, in either order.

    It has the configuration with the higher number. While the newer era
    settles, it also has the withdrawals and orders that the store has lost.

    Args:
        first: A state.
        second: Another one, or the same to drop what has been lost for longer.
        now: Monotonic seconds.
        settling_seconds: How long after the beginning of an era operators may
            take to write again what the store has lost.
    """
    older, newer = sorted(
        (first, second), key=lambda state: state.state_version.position
    )
    old_version, version = older.state_version, newer.state_version
    same_era = old_version.era == version.era
    began_at = _get_beginning(older, newer, now)
    present = newer.list_keys() - newer.lost
    lost = deleted = frozenset[str]()
    if now - began_at < settling_seconds:
        deleted = newer.deleted
        if same_era:
            deleted |= older.deleted
            positions = old_version.carried
        else:
            positions = (*old_version.carried, old_version.position)
        lost = newer.lost | _list_lost(older, version)
        lost -= present | deleted
        version = version.carry(positions)
    else:
        version = version._replace(carried=())
    since = min(old_version.since, version.since)
    withdrawals = frozenset(
        key for key in present | lost if key.startswith(WITHDRAWAL_PREFIX)
    )
    merged = newer._replace(
        state_version=version._replace(since=since),
        orders=tuple(_iter_orders(older, newer, present | lost)),
        withdrawals=withdrawals,
        lost=lost,
        deleted=deleted - present,
        era_began_at=began_at,
    )
    if _get_number(older) > _get_number(newer):
        merged = merged._replace(
            document=older.document, configuration=older.configuration
        )
    if merged.configuration is None:
        return merged
    return merged._replace(
        configuration=merged.configuration._replace(
            withdrawn_zones=frozenset(merged.list_withdrawn_zones())
        )
    )


def _list_lost(
    older: StoreConfigurationState, version: StateVersion
) -> frozenset[str]:
    """Returns the keys of an older state that a newer one may have lost.

    Args:
        older: The older state.
        version: The version of the newer one.
    """
    old_version = older.state_version
    if old_version.era != version.era and not version.has_carried(
        old_version.position
    ):
        return older.list_keys()
    if all(map(version.has_carried, old_version.carried)):
        return frozenset()
    return older.lost


def _get_number(state: StoreConfigurationState) -> float:
    """Returns the number that operators gave the configuration."""
    cfg = state.configuration
    return -math.inf if cfg is None else cfg.version


def _get_beginning(
    older: StoreConfigurationState, newer: StoreConfigurationState, now: float
) -> float:
    """Returns when the newer era began, as far as a node has seen that."""
    known = [newer.era_began_at]
    if older.state_version.era == newer.state_version.era:
        known.append(older.era_began_at)
    elif math.isinf(newer.era_began_at):
        # The other node saw no earlier era.
        return now
    return min(filter(math.isfinite, known), default=-math.inf)


def _iter_orders(
    older: StoreConfigurationState,
    newer: StoreConfigurationState,
    keys: frozenset[str],
) -> Iterator[ObservedOrder]:
    earlier = {entry.order.service: entry for entry in older.orders}
    later = {entry.order.service: entry for entry in newer.orders}
    for service in sorted(earlier.keys() | later.keys()):
        if ORDER_PREFIX + service not in keys:
            continue
        entries = [
            orders[service] for orders in (earlier, later) if service in orders
        ]
        if len(entries) == 1:
            yield entries[0]
            continue
        is_lost = ORDER_PREFIX + service in older.lost
        yield _merge_orders(
            *entries,
            is_lost=is_lost,
            since=(older.state_version.since, newer.state_version.since),
        )


def _merge_orders(
    earlier: ObservedOrder,
    later: ObservedOrder,
    *,
    is_lost: bool,
    since: tuple[int, int],
) -> ObservedOrder:
    """Returns the order in force of two of the same service.

    Its number is the offset of its record. After a drill, an order that is
    written again keeps the number that it had, so that its roll-out goes on,
    and another one gets a higher number than those before it.

    Args:
        earlier: The order of the older state.
        later: That of the newer one.
        is_lost: Whether the store had lost the earlier one.
        since: The first eras that the states follow. Numbers of the state
            that follows from an earlier era are known to more nodes.
    """
    if earlier.order == later.order:
        return later.merge(earlier)
    number, later_number = earlier.order.number, later.order.number
    is_same = earlier.order._replace(number=later_number) == later.order
    if is_same and since[0] != since[1] and not later.is_exact:
        return earlier if since[0] < since[1] else later
    if is_same and is_lost:
        return earlier
    if since[0] < since[1] and later_number <= number:
        order = later.order._replace(number=number + 1)
        return later._replace(order=order)
    return later
