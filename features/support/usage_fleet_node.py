"""A node of a fleet whose gateways apply usage caps, without a network."""

from collections.abc import Callable
from datetime import timedelta

import trio

from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.exceptions import PeerSilentError
from rhubarbpaddle.membership import Member, MemberStatus, MemberTable
from rhubarbpaddle.usage.fleet_view import FleetView
from rhubarbpaddle.usage.owner_search import OwnerSearch
from rhubarbpaddle.usage.silent_nodes import SilentNodes
from rhubarbpaddle.usage.usage_cap import UsageCap
from rhubarbpaddle.usage.usage_gate import UsageGate
from rhubarbpaddle.usage.usage_grant import UsageGrant
from rhubarbpaddle.usage.usage_owner import UsageOwner
from rhubarbpaddle.usage.usage_query import UsageQuery

LATENCY_SECONDS = 0.002


class NoLog:
    """Drops all log lines."""

    def info(self, event: str, **fields: object) -> None: ...

    def notice(self, event: str, **fields: object) -> None: ...


def make_member(node_id: str, incarnation: int) -> Member:
    return Member(
        node_id,
        incarnation,
        1,
        MemberStatus.ALIVE,
        node_id,
        "a",
        node_id,
        node_id,
        None,
    )


class UsageFleetNode:
    """The parts of one process that apply usage caps.

    Attributes:
        group: Nodes reach only nodes of the same group.
        running: Whether the process exists.
        frozen: Whether it exists and does not run.
        sent_count: The queries that it has sent.
        response_delay: For how many seconds a query waits here.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        has_link: Callable[[str], bool],
        find_node: Callable[[str], "UsageFleetNode"],
        count_listed: Callable[[], int | None],
        get_cap: Callable[[str], UsageCap | None],
    ) -> None:
        clock = VirtualClock()
        self.node_id = node_id
        self.group = 0
        self.running = True
        self.frozen = False
        self.sent_count = 0
        self.response_delay = 0.0
        self._find_node = find_node
        self.table = MemberTable(make_member(node_id, incarnation))
        self.fleet = FleetView(
            self.table, clock, lambda: has_link(node_id), count_listed
        )
        self.owner = UsageOwner(self.fleet, clock, get_cap, NoLog())
        search = OwnerSearch(
            node_id,
            self.fleet,
            self.owner,
            self,
            SilentNodes(clock, NoLog()),
            clock,
        )
        self.gate = UsageGate(self.fleet, self.owner, search, clock)

    def reaches(self, other: "UsageFleetNode") -> bool:
        return self.group == other.group and all(
            node.running and not node.frozen for node in (self, other)
        )

    async def ask(
        self, address: str, query: UsageQuery, until: float
    ) -> UsageGrant:
        """Asks another node; see `OwnerClient`."""
        self.sent_count += 1
        other = self._find_node(address)
        with trio.move_on_at(until):
            if self.reaches(other):
                await trio.sleep(LATENCY_SECONDS + other.response_delay)
                grant = other.owner.grant(query)
                if self.reaches(other):
                    await trio.sleep(LATENCY_SECONDS)
                    return grant
            if not other.running:
                raise ConnectionRefusedError(address)
            await trio.sleep_forever()
        raise PeerSilentError("no response", step="ask_usage", peer=address)

    async def observe(self) -> None:
        """Runs the periodic task of the gate, unless the node is frozen."""
        while self.running:
            if not self.frozen:
                self.fleet.observe()
            await VirtualClock().sleep(timedelta(milliseconds=200))

    def set_status(self, other: "UsageFleetNode", status: MemberStatus) -> None:
        """Records what this node has found out about another one."""
        entry = self.table.get(other.node_id)
        if self.running and not self.frozen and entry is not None:
            self.table.merge(entry._replace(status=status))

    def learn(self, other: "UsageFleetNode") -> None:
        """Receives another node's own entry, which refutes a suspicion."""
        if other is self:
            return
        entry = self.table.get(other.node_id)
        if entry is not None:
            other.table.merge(entry)
        self.table.merge(other.table.own)
