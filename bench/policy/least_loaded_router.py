"""A baseline router that counts only its own requests in flight."""

import random
from collections import Counter
from collections.abc import Collection

from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
)
from rhubarbpaddle.routing.candidate import Candidate


class LeastLoadedRouter:
    """Chooses the instance with the fewest requests of this node in flight."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        self._in_flight: Counter[str] = Counter()

    def choose(
        self, cfg: Configuration, service: str, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns the instance for the next attempt."""
        candidates = [
            Candidate.from_member(member)
            for member in self._table
            if member.node_id not in excluded
            and _accepts_requests(cfg, member, service)
        ]
        if not candidates:
            return None
        self._rng.shuffle(candidates)
        return min(candidates, key=lambda c: self._in_flight[c.node_id])

    def has_other(
        self, cfg: Configuration, service: str, excluded: Collection[str]
    ) -> bool:
        """Returns whether `choose` would return a candidate."""
        return self.choose(cfg, service, excluded) is not None

    def record_start(self, candidate: Candidate) -> None:
        """Counts a request that was sent to the candidate."""
        self._in_flight[candidate.node_id] += 1

    def record_end(
        self,
        candidate: Candidate,
        latency: float | None,
        succeeded: bool,
        report: LoadReport | None,
        code: str = "",
    ) -> None:
        """Removes a request from the count."""
        self._in_flight[candidate.node_id] -= 1


def _accepts_requests(cfg: Configuration, member: Member, service: str) -> bool:
    upstream = member.upstream
    return (
        upstream is not None
        and upstream.service == service
        and upstream.state in (UpstreamState.COLD, UpstreamState.WARM)
        and member.status is MemberStatus.ALIVE
        and cfg.is_in_service(member.availability_zone)
    )
