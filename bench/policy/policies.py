"""The routing policies that are compared."""

import random
from functools import partial

from bench.policy.baseline_router import (
    BaselineRouter,
    pick_random,
    pick_round_robin,
    pick_two_choices,
)
from bench.policy.deployment import Deployment
from bench.policy.host import Host
from bench.policy.least_loaded_router import LeastLoadedRouter
from rhubarbpaddle.routing.adaptive_router import AdaptiveRouter
from rhubarbpaddle.routing.router import Router

ADAPTIVE = "adaptive"
OMNISCIENT = "omniscient"
POLICIES = (
    "round robin",
    "random",
    "least in flight",
    "two choices",
    ADAPTIVE,
    OMNISCIENT,
)
_PICKS = {
    "round robin": pick_round_robin,
    "random": pick_random,
    "two choices": pick_two_choices,
}


def make_router(
    name: str, deployment: Deployment, host: Host, rng: random.Random
) -> Router:
    """Creates the router of one gateway.

    Args:
        name: The name of the policy, except the omniscient one.
        deployment: The deployment of the run.
        host: The gateway's host.
        rng: The random number generator.
    """
    if name == ADAPTIVE:
        return AdaptiveRouter(host.table, rng, deployment.clock)
    if name == "least in flight":
        return LeastLoadedRouter(host.table, rng)
    return partial(BaselineRouter, pick=_PICKS[name])(host.table, rng)
