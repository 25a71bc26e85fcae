"""The nodes that did not respond to recent queries."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.event_log import EventLog
from rhubarbpaddle.membership import Member

# For how long a node is not asked after one, two, and more failures in a row,
# so that it delays few requests. The first may only show a silent connection.
_SKIP_SECONDS = (0.25, 1.0, 2.0)


class SilentNodes:
    """Remembers which nodes did not respond to queries."""

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._skipped_until: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}

    def handle_member_change(self, member: Member, source: str | None) -> None:
        """Forgets the failures of a node that has started again."""
        node_id = member.node_id
        if member.incarnation > self._incarnations.get(node_id, 0):
            self._incarnations[node_id] = member.incarnation
            self._skipped_until.pop(node_id, None)

    def should_ask(self, node_id: str) -> bool:
        """Returns whether a node may respond.

        The first caller after the time without queries is the only one to ask
        until the node responds.
        """
        skipped_until = self._skipped_until.get(node_id)
        if skipped_until is None:
            return True
        now = self._clock.monotonic()
        if now < skipped_until:
            return False
        self._skipped_until[node_id] = now + _SKIP_SECONDS[0]
        return True

    def may_be_slow(self, node_id: str) -> bool:
        """Returns whether a node has failed once, which may mean it is slow."""
        return self._failures.get(node_id) == 1

    def record_response(self, node_id: str) -> None:
        """Records that a node has responded."""
        self._skipped_until.pop(node_id, None)
        if self._failures.pop(node_id, 0):
            self._log.info("usage_owner_reached", peer=node_id)

    def record_failure(self, node_id: str, reason: object) -> None:
        """Records that a node has not responded."""
        failures = self._failures.get(node_id, 0)
        if not failures:
            self._log.notice(
                "usage_owner_unreachable", peer=node_id, reason=reason
            )
        self._failures[node_id] = failures + 1
        skip_seconds = _SKIP_SECONDS[min(failures, len(_SKIP_SECONDS) - 1)]
        self._skipped_until[node_id] = self._clock.monotonic() + skip_seconds
