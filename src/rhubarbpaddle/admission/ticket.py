"""What admission needs to know of a request."""

from typing import NamedTuple


class Ticket(NamedTuple):
    """A request that asks for a slot.

    Attributes:
        tenant: The tenant that the request belongs to.
        deadline: Monotonic seconds after which the request is useless.
        may_queue: False if the sender prefers another instance to waiting.
        criticality: How many services depend on the answer, by
            `CriticalityTable`; requests with fewer are shed first.
    """

    tenant: str
    deadline: float
    may_queue: bool
    criticality: int = 0
