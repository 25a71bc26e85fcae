"""Holds callers while a node that has just started learns of the instances."""

from collections.abc import Callable
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock

# The longest time for which callers are held. Nodes that start together know of
# each other's instances within this time; a caller with a second left still has
# time to go elsewhere.
_MAX_HOLD = timedelta(milliseconds=400)
_CHECK_INTERVAL = timedelta(milliseconds=20)


class StartGate:
    """Opens once the node can serve requests, or has waited long enough.

    After the return of all hosts at once, callers arrive before the nodes know
    of each other. A refusal would use up one of the few attempts that a caller
    has before its deadline.
    """

    def __init__(self, clock: Clock, is_ready: Callable[[], bool]) -> None:
        """Creates a closed gate.

        Args:
            clock: The source of time.
            is_ready: Returns whether the node can serve requests.
        """
        self._clock = clock
        self._is_ready = is_ready
        self._opened = trio.Event()

    async def run(self) -> None:
        """Opens the gate when it is time."""
        deadline = self._clock.monotonic() + _MAX_HOLD.total_seconds()
        while not self._is_ready() and self._clock.monotonic() < deadline:
            await self._clock.sleep(_CHECK_INTERVAL)
        self._opened.set()

    async def wait(self) -> None:
        """Waits until the gate is open."""
        await self._opened.wait()
