"""The load and the faults of a run."""

from collections.abc import Callable
from typing import NamedTuple

from bench.policy.deployment import Deployment

LoadFactor = Callable[[float], float]
Event = tuple[float, Callable[[Deployment], None]]


class Scenario(NamedTuple):
    """A load with faults; times are in seconds from the start of the run.

    Attributes:
        name: The name in tables.
        load: The load of quiet tenants as a share of the capacity.
        load_factor: Returns the factor on the load at a time, at most 1.
        events: The faults and operations, and when they happen.
        noisy_load: The start and end of the noisy tenant's load, and the load
            as a share of the capacity.
        withdrawal_window: The start and end of a withdrawal whose goodput is
            reported.
        seconds: The duration of the run.
    """

    name: str
    load: float
    load_factor: LoadFactor = lambda time: 1.0
    events: tuple[Event, ...] = ()
    noisy_load: tuple[float, float, float] = (0.0, 0.0, 0.0)
    withdrawal_window: tuple[float, float] = (0.0, 0.0)
    seconds: float = 3.0
