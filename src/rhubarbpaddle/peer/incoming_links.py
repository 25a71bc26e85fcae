"""Limits how often each node can open a control link to this one."""

import random
from collections import OrderedDict
from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.peer.link_backoff import LinkBackoff

# Other nodes end short links on purpose after 0.2 s or later: links to a node
# that has just started, or that is no neighbour any more.
_STABLE_TIME = timedelta(milliseconds=100)
# The other node waits a second for its connection.
_MAX_DELAY = timedelta(milliseconds=500)
# More than the nodes that have this one as a neighbour.
_MAX_PEERS = 64


class IncomingLinks:
    """Delays the links of nodes whose last ones ended at once.

    A node that opens a link whenever one ends, as earlier releases do, would
    otherwise use as much of this node's processor as of its own.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Creates a limit for nodes that have not opened a link yet.

        Args:
            clock: The source of time.
            rng: Gives the delays jitter.
        """
        self._clock = clock
        self._rng = rng
        self._backoffs: OrderedDict[str, LinkBackoff] = OrderedDict()

    def record_end(self, node_id: str, seconds: float) -> None:
        """Records that a link which another node had opened has ended.

        Args:
            node_id: The other node.
            seconds: How long it was open.
        """
        backoff = self._backoffs.get(node_id)
        if backoff is None:
            backoff = self._backoffs[node_id] = LinkBackoff(
                self._clock, self._rng, _STABLE_TIME, _MAX_DELAY
            )
            if len(self._backoffs) > _MAX_PEERS:
                self._backoffs.popitem(last=False)
        self._backoffs.move_to_end(node_id)
        backoff.record_end(seconds)

    def get_remaining_delay(self, node_id: str) -> timedelta:
        """Returns how long a node has to wait for its next link."""
        backoff = self._backoffs.get(node_id)
        return backoff.get_remaining_delay() if backoff else timedelta()
