"""A request that waits for a slot."""

import trio

from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.exceptions import RefusedError


class Waiter:
    """A ticket in the queue and what became of it.

    Attributes:
        ticket: The request that waits.
        granted: Whether a slot was counted for it.
        refusal: Why it gets no slot, or None.
        ended: Set once it was granted or refused.
    """

    def __init__(self, ticket: Ticket) -> None:
        self.ticket = ticket
        self.granted = False
        self.refusal: RefusedError | None = None
        self.ended = trio.Event()

    def grant(self) -> None:
        """Ends the wait with a slot."""
        self.granted = True
        self.ended.set()

    def refuse(self, refusal: RefusedError) -> None:
        """Ends the wait without a slot."""
        self.refusal = refusal
        self.ended.set()
