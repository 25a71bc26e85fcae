"""Routers to compare with."""

import random
from collections.abc import Callable, Collection

from rhubarbpaddle.configuration import Configuration
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import MemberTable
from rhubarbpaddle.routing import Candidate
from rhubarbpaddle.routing.service_index import ServiceIndex

Pick = Callable[["BaselineRouter", list[Candidate]], Candidate]


class BaselineRouter:
    """Chooses from all instances that take work by a simple rule.

    Attributes:
        rng: The source of random choices.
        turns: How many choices were made.
        loads: The last reported load per slot, by node.
    """

    def __init__(
        self, table: MemberTable, rng: random.Random, pick: Pick
    ) -> None:
        self._index = ServiceIndex(table)
        self._pick = pick
        self.rng = rng
        self.turns = 0
        self.loads: dict[str, float] = {}

    def choose(
        self, cfg: Configuration, service: str, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns the instance for the next try."""
        candidates = [
            Candidate.from_member(member)
            for member in self._index.get_members(service)
            if member.node_id not in excluded
            and cfg.is_in_service(member.availability_zone)
        ]
        self.turns += 1
        return self._pick(self, candidates) if candidates else None

    def has_other(
        self, cfg: Configuration, service: str, excluded: Collection[str]
    ) -> bool:
        """Returns whether `choose` would return a candidate."""
        return any(
            member.node_id not in excluded
            and cfg.is_in_service(member.availability_zone)
            for member in self._index.get_members(service)
        )

    def record_start(self, candidate: Candidate) -> None:
        """Notes nothing."""

    def record_end(
        self,
        candidate: Candidate,
        latency: float | None,
        succeeded: bool,
        report: LoadReport | None,
        code: str = "",
    ) -> None:
        """Keeps the last report."""
        if report is not None:
            load = (report.in_flight + report.queued) / report.limit
            self.loads[candidate.node_id] = load


def pick_in_turn(
    router: BaselineRouter, candidates: list[Candidate]
) -> Candidate:
    """Round robin."""
    return candidates[router.turns % len(candidates)]


def pick_randomly(
    router: BaselineRouter, candidates: list[Candidate]
) -> Candidate:
    """A random instance."""
    return router.rng.choice(candidates)


def pick_of_two(
    router: BaselineRouter, candidates: list[Candidate]
) -> Candidate:
    """The instance of two random ones that last reported the lower load."""
    two = router.rng.sample(candidates, min(2, len(candidates)))
    return min(two, key=lambda c: router.loads.get(c.node_id, 0.0))
