"""The choice of the addresses at which a node without links joins the fleet."""

import random
from collections.abc import Set


def choose_rejoin_addresses(
    addresses: Set[str], near: Set[str], count: int, rng: random.Random
) -> list[str]:
    """Chooses addresses at random, most of them in the node's zone.

    While all nodes start, each of these links carries the whole member table in
    both directions, which is expensive between zones. One of several, and a
    single one, may lead to any zone, so that zones find each other.

    Args:
        addresses: The possible addresses.
        near: Addresses in the node's zone.
        count: How many to choose.
        rng: The source of randomness.
    """
    near_here = sorted(addresses & near)
    chosen = rng.sample(near_here, min(len(near_here), count - 1))
    others = sorted(addresses - set(chosen))
    return chosen + rng.sample(others, min(len(others), count - len(chosen)))
