"""Finds the node that decides about a usage query."""

from collections.abc import Callable

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.membership import Member
from rhubarbpaddle.usage.fleet_view import FleetView
from rhubarbpaddle.usage.owner_client import OwnerClient
from rhubarbpaddle.usage.owner_role import OwnerRole
from rhubarbpaddle.usage.silent_nodes import SilentNodes
from rhubarbpaddle.usage.usage_grant import UsageGrant
from rhubarbpaddle.usage.usage_owner import UsageOwner
from rhubarbpaddle.usage.usage_query import UsageQuery

# Above the time between zones and that of a small message behind a paced body
# (38 ms at p99).
_QUERY_SECONDS = 0.08
# Less time does not show whether a node responds. A node that is taken for
# silent too early leads to one more substitute that grants tokens.
_MIN_QUERY_SECONDS = 0.04


class OwnerSearch:
    """Asks the nodes that may own a usage cap until one has decided.

    It addresses owners that are gone, cut off or slow: the nodes behind them in
    the ranking are asked in turn, except those that were silent recently.

    Attributes:
        sent_count: The number of queries sent to other nodes.
    """

    def __init__(
        self,
        node_id: str,
        fleet: FleetView,
        owner: UsageOwner,
        client: OwnerClient,
        silent_nodes: SilentNodes,
        clock: Clock,
    ) -> None:
        """Creates a search that has asked no node.

        Args:
            node_id: The id of this node.
            fleet: Knows the candidates for each cap.
            owner: Decides about the caps that this node owns.
            client: Sends queries to other nodes.
            silent_nodes: The nodes that did not respond.
            clock: The source of time.
        """
        self._node_id = node_id
        self._fleet = fleet
        self._owner = owner
        self._client = client
        self._silent_nodes = silent_nodes
        self._clock = clock
        self.sent_count = 0

    async def ask_in_turn(
        self,
        query: UsageQuery,
        get_other_owner_age: Callable[[str, float], float | None],
        until: float,
    ) -> tuple[Member, UsageGrant] | None:
        """Returns the response of the first node that can decide.

        Args:
            query: The query.
            get_other_owner_age: Returns how long ago an owner other than a node
                granted tokens.
            until: Monotonic seconds until which nodes may be asked.
        """
        # Contact may have begun since the last observation.
        self._fleet.observe()
        for member in self._fleet.iter_candidates(query.organisation):
            now = self._clock.monotonic()
            age = get_other_owner_age(member.node_id, now)
            query = query._replace(other_owner_age=age)
            grant: UsageGrant | None
            if member.node_id == self._node_id:
                grant = self._owner.grant_own(query)
                if grant.role is OwnerRole.NONE:
                    # A later node would be one more substitute.
                    return None
                return member, grant
            if not self._can_ask(until):
                return None
            if not self._silent_nodes.should_ask(member.node_id):
                continue
            # Leaves time to ask another node if this one does not respond.
            node_until = now + max(_QUERY_SECONDS, (until - now) / 2)
            grant = await self._ask(member, query, min(until, node_until))
            if grant is not None:
                return member, grant
        return None

    async def ask_owner_again(
        self, query: UsageQuery, until: float
    ) -> tuple[Member, UsageGrant] | None:
        """Returns the owner's response if it may only have been slow.

        Load pattern: a busy machine, on which nodes respond later than requests
        usually wait, although they run and are connected.
        """
        owner = next(self._fleet.iter_candidates(query.organisation), None)
        if (
            owner is None
            or not self._can_ask(until)
            or not self._silent_nodes.may_be_slow(owner.node_id)
        ):
            return None
        # The owner may have received what the first query returned.
        grant = await self._ask(owner, query._replace(returned=0), until)
        return None if grant is None else (owner, grant)

    def _can_ask(self, until: float) -> bool:
        remaining = until - self._clock.monotonic()
        return remaining >= _MIN_QUERY_SECONDS and self._fleet.has_contact

    async def _ask(
        self, member: Member, query: UsageQuery, until: float
    ) -> UsageGrant | None:
        """Returns a node's response, or None if it has not decided."""
        self.sent_count += 1
        try:
            grant = await self._client.ask(member.peer_address, query, until)
        except (OSError, RhubarbpaddleError) as exc:
            self._silent_nodes.record_failure(member.node_id, exc)
            return None
        self._silent_nodes.record_response(member.node_id)
        return None if grant.role is OwnerRole.NONE else grant
