"""A fleet whose gateways apply usage caps, in virtual time."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

import trio

from features.support.usage_fleet_node import UsageFleetNode
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.membership import MemberStatus
from rhubarbpaddle.usage.quota_terms import QuotaTerms
from rhubarbpaddle.usage.token_bucket import TokenBucket
from rhubarbpaddle.usage.usage_cap import UsageCap

# When nodes learn that another one is silent, that its process has ended, that
# it leaves, and that it responds again; see `Overlay` and `Suspicion`.
LINK_SILENCE_SECONDS = 1.25
_SILENCE_SECONDS = 3.0
_END_SECONDS = 0.2
_REFUTATION_SECONDS = 2.0
_LEAVE_SECONDS = 0.1
_RETURN_SECONDS = 0.3
# For a latency target of 0.5 s; see `UsageGateway`.
_MAX_WAIT_SECONDS = 0.125
_MAX_UNDECIDED_SECONDS = 0.25


class UsageFleet:
    """Nodes that reach each other or not, and the requests that they admit.

    Attributes:
        admitted_at: The times at which requests ran, by organisation.
        needless: The refusals of requests of organisations that kept their
            cap, by organisation: a single bucket with the cap's rate and burst
            would have refused none of their requests in the last second.
        refused: All refusals, by organisation.
        requests: All requests.
        has_directory: Whether nodes can read the node directory.
    """

    def __init__(
        self, terms: QuotaTerms, organisations: Iterable[Organisation]
    ) -> None:
        self._terms = terms
        self._caps: dict[str, UsageCap] = {}
        self.organisations: dict[str, Organisation] = {}
        self.nodes: dict[str, UsageFleetNode] = {}
        self.admitted_at: defaultdict[str, list[float]] = defaultdict(list)
        self.needless: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.requests = 0
        self.has_directory = True
        self._incarnation = 0
        self._reference: dict[str, TokenBucket] = {}
        self._exceeded_at: dict[str, float] = {}
        self._links_lost_at: dict[str, float] = {}
        for organisation in organisations:
            self.set_cap(organisation)

    def set_cap(self, organisation: Organisation) -> None:
        """Adds an organisation or changes its cap."""
        name = organisation.name
        self.organisations[name] = organisation
        self._caps[name] = UsageCap.from_config(organisation, self._terms)

    def start(self, nursery: trio.Nursery, node_ids: Iterable[str]) -> None:
        """Starts nodes that know each other and the running ones at once."""
        started = []
        for node_id in node_ids:
            self._incarnation += 1
            previous = self.nodes.get(node_id)
            node = self.nodes[node_id] = UsageFleetNode(
                node_id,
                self._incarnation,
                self._has_link,
                self.nodes.__getitem__,
                lambda: len(self.nodes) - 1 if self.has_directory else None,
                self._caps.get,
            )
            if previous is not None:
                node.group = previous.group
            started.append(node)
            nursery.start_soon(node.observe)
        for node in started:
            for other in self.nodes.values():
                if node.reaches(other):
                    node.learn(other)
                    other.learn(node)

    def kill(self, nursery: trio.Nursery, node_id: str) -> None:
        """Ends the process of a node."""
        self.nodes[node_id].running = False
        nursery.start_soon(self._spread_loss, _END_SECONDS)

    async def leave(self, node_id: str) -> None:
        """Announces that a node shuts down."""
        node = self.nodes[node_id]
        node.table.update_own(status=MemberStatus.LEAVING)
        await trio.sleep(_LEAVE_SECONDS)
        for observer in self.nodes.values():
            if observer.reaches(node):
                observer.learn(node)

    def freeze(self, nursery: trio.Nursery, node_id: str) -> None:
        """Stops the process of a node without an end."""
        self.nodes[node_id].frozen = True
        nursery.start_soon(self._spread_loss, _SILENCE_SECONDS)

    def resume(self, nursery: trio.Nursery, node_id: str) -> None:
        """Lets a frozen node run again."""
        self.nodes[node_id].frozen = False
        nursery.start_soon(self._spread_return)

    def partition(
        self, nursery: trio.Nursery, groups: Mapping[str, int]
    ) -> None:
        """Sets the group of each node; only nodes of a group reach others."""
        for node_id, group in groups.items():
            self.nodes[node_id].group = group
        nursery.start_soon(self._spread_loss, _SILENCE_SECONDS)
        nursery.start_soon(self._spread_return)

    async def send(self, node_id: str, name: str, is_run: bool = True) -> bool:
        """Sends a request through a gateway.

        Args:
            node_id: The gateway.
            name: The organisation.
            is_run: Whether an instance runs it once it is admitted.

        Returns:
            Whether it was admitted.
        """
        node = self.nodes[node_id]
        if not node.running or node.frozen:
            return False
        self.requests += 1
        keeps_cap = self._keeps_cap(name)
        now = trio.current_time()
        until, latest = now + _MAX_WAIT_SECONDS, now + _MAX_UNDECIDED_SECONDS
        try:
            token = await node.gate.acquire(
                name, self._caps[name], until, latest
            )
        except RefusedError:
            self.refused[name] += 1
            self.needless[name] += keeps_cap
            return False
        if is_run:
            self.admitted_at[name].append(trio.current_time())
        else:
            node.gate.put_back(name, token)
        return True

    def get_most_in_window(self, name: str) -> int:
        """Returns the most requests that ran in any window."""
        window = self._terms.window.total_seconds()
        times = sorted(self.admitted_at[name])
        most = start = 0
        for index, time in enumerate(times):
            while times[start] <= time - window:
                start += 1
            most = max(most, index + 1 - start)
        return most

    def get_limit(self, name: str) -> float:
        """Returns how many requests may run in a window."""
        organisation, terms = self.organisations[name], self._terms
        cap = organisation.rate * terms.window.total_seconds()
        return (cap + organisation.burst) * (1 + terms.overage) + terms.slack

    def _keeps_cap(self, name: str) -> bool:
        organisation, now = self.organisations[name], trio.current_time()
        terms = (organisation.rate, max(1.0, organisation.burst))
        bucket = self._reference.get(name)
        if bucket is None:
            bucket = self._reference[name] = TokenBucket(terms[1], *terms, now)
        bucket.refill(now, *terms)
        if not bucket.take(1):
            self._exceeded_at[name] = now
        return now - self._exceeded_at.get(name, -1.0) >= 1.0

    def _has_link(self, node_id: str) -> bool:
        now = trio.current_time()
        node = self.nodes[node_id]
        if any(
            node.reaches(other)
            for other in self.nodes.values()
            if other is not node
        ):
            self._links_lost_at[node_id] = now + LINK_SILENCE_SECONDS
        return now < self._links_lost_at.get(node_id, 0.0)

    async def _spread_loss(self, seconds: float) -> None:
        separated = self._list_pairs(are_connected=False)
        for delay, status in (
            (seconds, MemberStatus.SUSPECT),
            (_REFUTATION_SECONDS, MemberStatus.DEAD),
        ):
            await trio.sleep(delay)
            still = set(self._list_pairs(are_connected=False))
            separated = [pair for pair in separated if pair in still]
            for observer, lost in separated:
                observer.set_status(lost, status)

    async def _spread_return(self) -> None:
        await trio.sleep(_RETURN_SECONDS)
        for observer, other in self._list_pairs(are_connected=True):
            observer.learn(other)

    def _list_pairs(
        self, *, are_connected: bool
    ) -> list[tuple[UsageFleetNode, UsageFleetNode]]:
        nodes = self.nodes.values()
        disturbed = [
            node
            for node in nodes
            if node.frozen or not node.running or node.group
        ]
        if are_connected:
            return [
                (node, other)
                for node in nodes
                for other in nodes
                if node is not other and node.reaches(other)
            ]
        return [
            pair
            for first in disturbed
            for second in nodes
            if first is not second and not first.reaches(second)
            for pair in ((first, second), (second, first))
            if pair[0].running
        ]
