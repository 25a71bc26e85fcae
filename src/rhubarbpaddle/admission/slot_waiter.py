"""A request in the queue of an upstream."""

import trio

from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.exceptions import RefusedError


class SlotWaiter:
    """A queued request and the decision about it.

    Attributes:
        ticket: The request.
        granted: Whether it was granted a slot, which then counts as in flight.
        refusal: Why it was refused a slot, or None.
        ended: Set once it was granted or refused a slot.
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
