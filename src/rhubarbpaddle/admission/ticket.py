"""The properties of a request that admission control depends on."""

import math
from typing import NamedTuple


class Ticket(NamedTuple):
    """A request for a slot.

    Attributes:
        organisation: The organisation that the request belongs to.
        deadline: Monotonic seconds after which a response is useless.
        may_queue: False if it is to be refused rather than queued.
        criticality: The number of services that depend on the response, as
            returned by `CriticalityTable`; the least critical requests are
            shed first.
        priority: The priority of the request's route, 0 for the most urgent.
        useful_until: Monotonic seconds of the latency target, after which a
            response has much less value.
        route: The request's route, or the empty string.
        usage_ratio: The organisation's recent requests at all nodes relative to
            its usage cap, or 0 if unknown.
        spillover: Whether the request left its zone because that is short of
            capacity. It then yields to the requests of the instance's zone.
    """

    organisation: str
    deadline: float
    may_queue: bool
    criticality: int = 0
    priority: int = 0
    useful_until: float = math.inf
    route: str = ""
    usage_ratio: float = 0.0
    spillover: bool = False
