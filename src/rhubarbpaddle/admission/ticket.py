"""What admission needs to know of a request."""

import math
from typing import NamedTuple


class Ticket(NamedTuple):
    """A request that asks for a slot.

    Attributes:
        tenant: The tenant that the request belongs to.
        deadline: Monotonic seconds after which the request is useless.
        may_queue: False if the sender prefers another instance to waiting.
        criticality: How many services depend on the answer, by
            `CriticalityTable`; requests with fewer are shed first.
        priority: The rank of the request's route, 0 for the most urgent.
        useful_until: Monotonic seconds after which an answer is worth much
            less.
        route: The request's route, or the empty string.
    """

    tenant: str
    deadline: float
    may_queue: bool
    criticality: int = 0
    priority: int = 0
    useful_until: float = math.inf
    route: str = ""
