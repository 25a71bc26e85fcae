"""Knows the promises, and nothing of how the product keeps them."""

from collections import Counter, defaultdict

import trio

from features.promises.sent_request import NOT_RUN, SentRequest
from features.promises.world import World

# The goal for a withdrawn availability zone and for a leaving upstream.
WITHDRAWAL_SECONDS = 2.0
# The share of an upstream's time that the operators' text grants by default.
PROBE_SHARE = 0.01


class Oracle:
    """Compares what ran with what callers were told.

    Attributes:
        checked: How many facts were compared, by promise.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.checked: Counter[str] = Counter()

    def check_all(self) -> None:
        """Checks each promise.

        Raises:
            AssertionError: A promise was broken; the message says which.
        """
        self.check_own_answers()
        self.check_not_run()
        self.check_at_most_once()
        self.check_capacity()
        self.check_versions_never_revert()
        self.check_leaving()
        self.check_probes()

    def check_own_answers(self) -> None:
        """Each caller gets the whole answer to its own request."""
        for request in self._world.sent:
            if request.status != 200:
                continue
            self.checked["own answers"] += 1
            marker = request.body.partition(b":")[0].decode()
            assert marker == request.marker, f"P4: {request}"
            length = 100_000 if marker.startswith("large") else 300
            assert len(request.body) == length, f"P4 cut: {request.marker}"

    def check_not_run(self) -> None:
        """What was refused as not run did not run."""
        runs = Counter(run.marker for run in self._world.runs)
        for marker, requests in self._group_by_marker().items():
            if all(request.outcome == NOT_RUN for request in requests):
                self.checked["not run"] += 1
                assert runs[marker] == 0, f"P5: {marker} ran {runs[marker]}x"

    def check_at_most_once(self) -> None:
        """A non-idempotent request runs at most once, however often sent."""
        runs = Counter(run.marker for run in self._world.runs)
        for marker, requests in self._group_by_marker().items():
            if requests[0].method == "POST":
                self.checked["at most once"] += 1
                assert runs[marker] <= 1, f"P6: {marker} ran {runs[marker]}x"

    def check_capacity(self) -> None:
        """No upstream gets more than it can bear."""
        for upstream in self._world.upstreams:
            self.checked["capacity"] += 1
            assert not upstream.violations, f"P2: {upstream.violations[:3]}"

    def check_versions_never_revert(self) -> None:
        """No node ever goes back to an older configuration."""
        newest: dict[tuple[str, int], int] = {}
        for name, node, version in self._world.versions:
            self.checked["never reverts"] += 1
            known = newest.get((name, node), 0)
            assert version >= known, f"P9: {name} from {known} to {version}"
            newest[name, node] = version

    def check_agreement(self) -> None:
        """After all faults are over, every node runs the one winner."""
        winner = self._world.get_winner()
        for name, node in self._world.nodes.items():
            self.checked["agreement"] += 1
            version = node.configuration.get_version()
            assert version == winner, f"P9: {name} has {version}, not {winner}"

    def check_withdrawn(self, zone: str, since: float, until: float) -> None:
        """A withdrawn zone gets no new work a few seconds later."""
        self.checked["withdrawn"] += 1
        late = [
            run
            for run in self._world.runs
            if run.availability_zone == zone
            and since + WITHDRAWAL_SECONDS < run.time <= until
        ]
        assert not late, f"P3: {late[:3]} after {since}"

    def check_leaving(self) -> None:
        """A leaving upstream gets no new work a few seconds later."""
        for upstream in self._world.upstreams:
            if upstream.leaving_since is None:
                continue
            self.checked["leaving"] += 1
            limit = upstream.leaving_since + WITHDRAWAL_SECONDS
            late = [
                run
                for run in self._world.runs
                if run.incarnation == id(upstream) and run.time > limit
            ]
            assert not late, f"P7: {late[:3]} after {limit}"

    def check_probes(self) -> None:
        """Probes take no more of an upstream's time than agreed."""
        for upstream in self._world.upstreams:
            self.checked["probes"] += 1
            age = trio.current_time() - upstream.started
            allowed = PROBE_SHARE * age + 0.006
            assert upstream.probe_seconds <= allowed, (
                f"P1: {upstream.instance} {upstream.probe_seconds} s of {age}"
            )

    def check_served(self, requests: list[SentRequest]) -> None:
        """Without faults, requests are answered."""
        for request in requests:
            self.checked["served"] += 1
            assert request.status == 200, f"not served: {request}"

    def _group_by_marker(self) -> dict[str, list[SentRequest]]:
        groups: defaultdict[str, list[SentRequest]] = defaultdict(list)
        for request in self._world.sent:
            groups[request.marker].append(request)
        return groups
