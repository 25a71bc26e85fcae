"""Baseline routers with simple rules."""

import random
from collections.abc import Callable, Collection

from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import MemberTable
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.service_index import ServiceIndex

Pick = Callable[["BaselineRouter", list[Candidate]], Candidate]


class BaselineRouter:
    """Applies a simple rule to all instances that accept requests.

    Attributes:
        rng: The random number generator.
        choices: The number of calls of `choose`.
        loads: The last reported load per slot, by node.
    """

    def __init__(
        self, table: MemberTable, rng: random.Random, pick: Pick
    ) -> None:
        self._index = ServiceIndex(table)
        self._pick = pick
        self.rng = rng
        self.choices = 0
        self.loads: dict[str, float] = {}

    def choose(
        self, cfg: Configuration, service: str, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns the instance for the next attempt."""
        candidates = [
            Candidate.from_member(member)
            for member in self._index.get_members(service)
            if member.node_id not in excluded
            and cfg.is_in_service(member.availability_zone)
        ]
        self.choices += 1
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
        """Does nothing."""

    def record_end(
        self,
        candidate: Candidate,
        latency: float | None,
        succeeded: bool,
        report: LoadReport | None,
        code: str = "",
    ) -> None:
        """Stores the load of the last report."""
        if report is not None:
            load = (report.in_flight + report.queued) / report.limit
            self.loads[candidate.node_id] = load


def pick_round_robin(
    router: BaselineRouter, candidates: list[Candidate]
) -> Candidate:
    """Picks the instances in turn."""
    return candidates[router.choices % len(candidates)]


def pick_random(
    router: BaselineRouter, candidates: list[Candidate]
) -> Candidate:
    """Picks a random instance."""
    return router.rng.choice(candidates)


def pick_two_choices(
    router: BaselineRouter, candidates: list[Candidate]
) -> Candidate:
    """Picks the instance with the lower reported load of two random ones."""
    pair = router.rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda c: router.loads.get(c.node_id, 0.0))
