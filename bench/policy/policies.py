"""The policies that are compared."""

import random
from functools import partial

from bench.policy.baseline_router import (
    BaselineRouter,
    pick_in_turn,
    pick_of_two,
    pick_randomly,
)
from bench.policy.deployment import Deployment
from bench.policy.host import Host
from bench.policy.least_loaded_router import LeastLoadedRouter
from rhubarbpaddle.routing import AdaptiveRouter, Router

POLICY = "adaptive"
LIMIT = "omniscient"
NAMES = (
    "round robin",
    "random",
    "least in flight",
    "two choices",
    POLICY,
    LIMIT,
)
_PICKS = {
    "round robin": pick_in_turn,
    "random": pick_randomly,
    "two choices": pick_of_two,
}


def make_router(
    name: str, deployment: Deployment, host: Host, rng: random.Random
) -> Router:
    """Makes the router of one gateway.

    Args:
        name: The policy, not the omniscient one.
        deployment: The run.
        host: The gateway's host.
        rng: The source of random choices.
    """
    if name == POLICY:
        return AdaptiveRouter(host.table, rng, deployment.clock)
    if name == "least in flight":
        return LeastLoadedRouter(host.table, rng)
    return partial(BaselineRouter, pick=_PICKS[name])(host.table, rng)
