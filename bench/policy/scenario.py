"""What happens during a run."""

from collections.abc import Callable
from typing import NamedTuple

from bench.policy.deployment import Deployment

Rate = Callable[[float], float]
Event = tuple[float, Callable[[Deployment], None]]


class Scene(NamedTuple):
    """A load and the faults in it; times are seconds of the run.

    Attributes:
        name: The name in tables.
        load: Share of the capacity at which quiet tenants send.
        rate: Factor on the load at a time, at most 1.
        events: Times and changes.
        noisy: Start, end and share of the capacity of the noisy tenant.
        window: Start and end of a withdrawal whose goodput is reported.
        seconds: The length of the run.
    """

    name: str
    load: float
    rate: Rate = lambda time: 1.0
    events: tuple[Event, ...] = ()
    noisy: tuple[float, float, float] = (0.0, 0.0, 0.0)
    window: tuple[float, float] = (0.0, 0.0)
    seconds: float = 3.0
