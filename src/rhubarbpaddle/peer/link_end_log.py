"""The record of the control links that ended."""

from collections import Counter, OrderedDict

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.peer.link_end import LinkEnd
from rhubarbpaddle.telemetry import get_logger

# A link that ends each time it is opened would write hundreds of lines.
_LINE_INTERVAL_SECONDS = 1.0
# More than the neighbours of a node. The names come from other nodes.
_MAX_PEERS = 64

_log = get_logger("control")


class LinkEndLog:
    """Counts the ends of control links and logs them at a bounded rate.

    Attributes:
        counts: The ends since the start, by the code of their failure.
    """

    def __init__(self, clock: Clock) -> None:
        self.counts: Counter[str] = Counter()
        self._clock = clock
        self._unreported: Counter[str] = Counter()
        self._reported_at: OrderedDict[str, float] = OrderedDict()

    def record(self, end: LinkEnd) -> None:
        """Counts an end; logs it unless one with this peer was just logged."""
        self.counts[end.failure.code] += 1
        peer, now = end.peer, self._clock.monotonic()
        if now - self._reported_at.get(peer, float("-inf")) < (
            _LINE_INTERVAL_SECONDS
        ):
            self._unreported[peer] += 1
            return
        _log.info(
            "control_link_lost",
            peer=peer,
            is_outgoing=end.is_outgoing,
            code=end.failure.code,
            step=end.failure.step,
            reason=end.failure.detail,
            lasted_ms=round(end.seconds * 1000),
            not_logged=self._unreported.pop(peer, 0),
        )
        self._reported_at[peer] = now
        self._reported_at.move_to_end(peer)
        if len(self._reported_at) > _MAX_PEERS:
            oldest, _ = self._reported_at.popitem(last=False)
            self._unreported.pop(oldest, None)
