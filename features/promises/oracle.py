"""Checks the promises without regard to how nodes keep them."""

from collections import Counter, defaultdict

import trio

from features.promises.sent_request import NOT_RUN, SentRequest
from features.promises.world import World

# How long a withdrawn availability zone or a leaving upstream may still receive
# new requests.
WITHDRAWAL_SECONDS = 2.0
# The fraction of an upstream's time that probes may take by default.
PROBE_SHARE = 0.01


class Oracle:
    """Compares what upstreams ran with the responses that callers received.

    Attributes:
        checked: How many checks were made, by name.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.checked: Counter[str] = Counter()

    def check_all(self) -> None:
        """Makes the checks that apply at any time.

        Raises:
            AssertionError: A promise was broken. The message starts with the
                promise's number.
        """
        self.check_own_responses()
        self.check_not_run()
        self.check_at_most_once()
        self.check_capacity()
        self.check_versions_never_revert()
        self.check_leaving()
        self.check_probes()

    def check_own_responses(self) -> None:
        """Checks that callers got the complete responses to their requests."""
        for request in self._world.sent:
            if request.status != 200:
                continue
            self.checked["own responses"] += 1
            marker = request.body.partition(b":")[0].decode()
            assert marker == request.marker, f"P4: {request}"
            length = 100_000 if marker.startswith("large") else 300
            assert len(request.body) == length, (
                f"P4 truncated: {request.marker}"
            )

    def check_not_run(self) -> None:
        """Checks that requests refused as `not-run` did not run."""
        runs = Counter(run.marker for run in self._world.runs)
        for marker, requests in self._group_by_marker().items():
            if all(request.outcome == NOT_RUN for request in requests):
                self.checked["not run"] += 1
                assert runs[marker] == 0, f"P5: {marker} ran {runs[marker]}x"

    def check_at_most_once(self) -> None:
        """Checks that non-idempotent requests ran at most once.

        This includes requests that were sent several times.
        """
        runs = Counter(run.marker for run in self._world.runs)
        for marker, requests in self._group_by_marker().items():
            if requests[0].method == "POST":
                self.checked["at most once"] += 1
                assert runs[marker] <= 1, f"P6: {marker} ran {runs[marker]}x"

    def check_capacity(self) -> None:
        """Checks that no upstream had too many requests in flight."""
        for upstream in self._world.upstreams:
            self.checked["capacity"] += 1
            assert not upstream.violations, f"P2: {upstream.violations[:3]}"

    def check_versions_never_revert(self) -> None:
        """Checks that no node returned to an older configuration."""
        newest: dict[tuple[str, int], int] = {}
        for name, node, version in self._world.observed_versions:
            self.checked["never reverts"] += 1
            known = newest.get((name, node), 0)
            assert version >= known, f"P9: {name} from {known} to {version}"
            newest[name, node] = version

    def check_agreement(self) -> None:
        """Checks that all nodes use the accepted configuration.

        Call this only after all faults have ended.
        """
        accepted = self._world.get_accepted_version()
        for name, node in self._world.nodes.items():
            self.checked["agreement"] += 1
            version = node.configuration.get_version()
            assert version == accepted, (
                f"P9: {name} has {version}, not {accepted}"
            )

    def check_withdrawn(self, zone: str, since: float, until: float) -> None:
        """Checks that a withdrawn zone received no late requests.

        Args:
            zone: The availability zone.
            since: When it was withdrawn.
            until: The end of the period to check.
        """
        self.checked["withdrawn"] += 1
        late = [
            run
            for run in self._world.runs
            if run.availability_zone == zone
            and since + WITHDRAWAL_SECONDS < run.time <= until
        ]
        assert not late, f"P3: {late[:3]} after {since}"

    def check_leaving(self) -> None:
        """Checks that leaving upstreams received no late requests."""
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
        """Checks that probes took at most the permitted time."""
        for upstream in self._world.upstreams:
            self.checked["probes"] += 1
            age = trio.current_time() - upstream.started
            allowed = PROBE_SHARE * age + 0.006
            assert upstream.probe_seconds <= allowed, (
                f"P1: {upstream.instance} {upstream.probe_seconds} s of {age}"
            )

    def check_served(self, requests: list[SentRequest]) -> None:
        """Checks that requests sent without faults succeeded."""
        for request in requests:
            self.checked["served"] += 1
            assert request.status == 200, f"not served: {request}"

    def _group_by_marker(self) -> dict[str, list[SentRequest]]:
        groups: defaultdict[str, list[SentRequest]] = defaultdict(list)
        for request in self._world.sent:
            groups[request.marker].append(request)
        return groups
