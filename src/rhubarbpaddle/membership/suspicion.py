"""The detection of dead nodes by suspicion and refutation."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.membership.member import Member
from rhubarbpaddle.membership.member_status import MemberStatus
from rhubarbpaddle.membership.member_table import MemberTable

# A suspected node is declared dead after this time. A node that still runs
# refutes the suspicion earlier.
REFUTATION_SECONDS = 2.0
# Bounds of the time between suspicions of the same node, which doubles each
# time. A node that one neighbour can't reach but others can refutes each
# suspicion immediately. Repeating it without a pause would flood the cluster.
MIN_REPEAT_INTERVAL_SECONDS = 5.0
MAX_REPEAT_INTERVAL_SECONDS = 60.0
# How long entries of dead nodes are kept. Regions may be partitioned for an
# hour, and both sides need the entries to reconnect.
TOMBSTONE_SECONDS = 3 * 3600.0


class Suspicion:
    """Marks unreachable nodes as suspect, then dead unless they refute it."""

    def __init__(self, table: MemberTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._suspected_since: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self._last_raised: dict[str, tuple[float, float]] = {}
        table.add_listener(self._on_member_change)

    def suspect(self, node_id: str) -> bool:
        """Raises a suspicion of a node that can't be reached.

        A leaving node is declared dead without a suspicion.

        Returns:
            Whether the table changed. It doesn't if the node is neither alive
            nor leaving, or if this node raised a suspicion of it recently.
        """
        member = self._table.get(node_id)
        if member is None or member.status not in (
            MemberStatus.ALIVE,
            MemberStatus.LEAVING,
        ):
            return False
        now = self._clock.monotonic()
        raised_at, interval = self._last_raised.get(
            node_id, (float("-inf"), 0.0)
        )
        if now - raised_at < interval:
            return False
        if now - raised_at > 2 * MAX_REPEAT_INTERVAL_SECONDS:
            interval = 0.0
        interval = min(
            max(2 * interval, MIN_REPEAT_INTERVAL_SECONDS),
            MAX_REPEAT_INTERVAL_SECONDS,
        )
        self._last_raised[node_id] = (now, interval)
        if member.status is MemberStatus.LEAVING:
            return self._table.merge(member._replace(status=MemberStatus.DEAD))
        return self._table.merge(member._replace(status=MemberStatus.SUSPECT))

    def expire(self) -> None:
        """Declares unrefuted suspects dead and removes old dead entries."""
        now = self._clock.monotonic()
        for node_id, since in tuple(self._suspected_since.items()):
            if now - since >= REFUTATION_SECONDS:
                member = self._table.get(node_id)
                assert member is not None
                self._table.merge(member._replace(status=MemberStatus.DEAD))
        for node_id, since in tuple(self._dead_since.items()):
            if now - since >= TOMBSTONE_SECONDS:
                del self._dead_since[node_id]
                self._last_raised.pop(node_id, None)
                self._table.remove(node_id)

    def get_recently_dead(self, seconds: float) -> list[str]:
        """Returns the ids of nodes that became dead within a time."""
        oldest = self._clock.monotonic() - seconds
        return [
            node_id
            for node_id, since in self._dead_since.items()
            if since >= oldest
        ]

    def _on_member_change(self, member: Member, source: str | None) -> None:
        node_id = member.node_id
        if member.status is MemberStatus.SUSPECT:
            self._suspected_since.setdefault(node_id, self._clock.monotonic())
        else:
            self._suspected_since.pop(node_id, None)
        if member.status is MemberStatus.DEAD:
            self._dead_since.setdefault(node_id, self._clock.monotonic())
        else:
            self._dead_since.pop(node_id, None)
