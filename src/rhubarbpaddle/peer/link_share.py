"""Divides a link's capacity among the bodies that are sent over it."""

from collections.abc import Iterable


def get_level(needed_rates: Iterable[float], capacity: float) -> float:
    """Returns the rate of all bodies that need no more than it.

    A body that needs more gets what it needs, and the rates of all bodies add
    up to the capacity.

    Args:
        needed_rates: The rates at which bodies meet their latency targets, in
            bytes per second; at least one.
        capacity: The rate for all bodies together, in bytes per second.

    Returns:
        0 if the needed rates use up the capacity.
    """
    rates = sorted(needed_rates, reverse=True)
    remaining = capacity
    for index, rate in enumerate(rates):
        level = remaining / (len(rates) - index)
        if rate <= level:
            return level
        remaining -= rate
    return 0.0
