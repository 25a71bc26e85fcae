"""Routing by recent load reports, with a preference for the local zone."""

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
)
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_condition import UNIMPAIRED
from rhubarbpaddle.routing.instance_view import InstanceView
from rhubarbpaddle.routing.member_groups import MemberGroups
from rhubarbpaddle.routing.ranked_member import RankedMember

_ACCEPTING_STATES = (UpstreamState.COLD, UpstreamState.WARM)
_NO_MEMBERS = MemberGroups()
UNREACHABLE_CODES = frozenset({"peer_unreachable", "peer_lost", "peer_silent"})
# A zone that has returned to service has no spare capacity for other zones
# before its own callers are back and its instances are warm.
_RETURN_SECONDS = 5.0


def _exclude_none(service: str) -> Collection[str]:
    """Returns no nodes, as without roll-outs."""
    return ()


class InstanceRouter:
    """Prefers the local availability zone while it has spare capacity.

    The node beside the chosen instance knows the current load and refuses a
    request immediately if needed, so a wrong choice costs a round trip and no
    work.

    Attributes:
        own_zone: The availability zone of this node.
    """

    def __init__(
        self,
        table: MemberTable,
        clock: Clock,
        rng: random.Random,
        is_in_service: Callable[[str], bool],
        get_excluded: Callable[[str], Collection[str]] = _exclude_none,
    ) -> None:
        """Creates a router.

        Args:
            table: The nodes and their instances.
            clock: The source of time.
            rng: Breaks ties, so that nodes don't all choose the same instance.
            is_in_service: Returns whether a zone may receive new requests.
            get_excluded: Returns the nodes whose instance of a service must not
                be chosen because of its version.
        """
        self.own_zone = table.own.availability_zone
        self._table = table
        self._clock = clock
        self._rng = rng
        self._is_in_service = is_in_service
        self._get_excluded = get_excluded
        self._views: defaultdict[str, InstanceView] = defaultdict(InstanceView)
        self._groups_by_service: dict[str, MemberGroups] | None = None
        self._withdrawn_at: dict[str, float] = {}
        table.add_listener(self._on_member_change)

    def choose(
        self, service: str, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns the instance for the next attempt, or None if none remains.

        Args:
            service: The service that the request is for.
            excluded: Node ids that must not be chosen.
        """
        return self._choose(self._get_groups(service), excluded)

    def choose_canary(
        self, service: str, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns an instance of any version, or None if none remains.

        Args:
            service: The service that the request is for.
            excluded: Node ids that must not be chosen.
        """
        return self._choose(self._get_groups_in_service(service), excluded)

    def _choose(
        self, groups: MemberGroups, excluded: Collection[str]
    ) -> Candidate | None:
        now = self._clock.monotonic()
        local = self._rank_best(groups.local, excluded, now)
        if local is not None and local.condition == UNIMPAIRED:
            # No instance of another zone ranks before it.
            return Candidate.from_member(local.member)
        other = self._rank_best(groups.others, excluded, now)
        if local is None or other is None:
            best = local or other
        else:
            best = other if other.condition < local.condition else local
        return Candidate.from_member(best.member) if best else None

    def choose_local(
        self, service: str, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns the best reachable instance of the own zone, or None.

        Args:
            service: The service that the request is for.
            excluded: Node ids that must not be chosen.
        """
        now = self._clock.monotonic()
        local = self._get_groups(service).local
        best = self._rank_best(local, excluded, now)
        if best is None or best.condition.avoided:
            return None
        return Candidate.from_member(best.member)

    def choose_spare(
        self, service: str, zones: Collection[str], excluded: Collection[str]
    ) -> Candidate | None:
        """Returns an instance of other zones that may have spare capacity.

        Instances that are cold, suspected or recently busy have none.

        Args:
            service: The service that the request is for.
            zones: The zones to choose from.
            excluded: Node ids that must not be chosen.
        """
        now = self._clock.monotonic()
        members = (
            member
            for member in self._get_groups(service).others
            if member.availability_zone in zones
            and member.upstream is not None
            and member.upstream.state is UpstreamState.WARM
        )
        best = self._rank_best(members, excluded, now)
        if best is None or best.condition != UNIMPAIRED:
            return None
        return Candidate.from_member(best.member)

    def get_other_zones(self, service: str) -> frozenset[str]:
        """Returns the zones that may have spare capacity for a service.

        The own zone is not one of them, nor is one that has just returned to
        service.
        """
        zones = self._get_groups(service).zones - {self.own_zone}
        earliest = self._clock.monotonic() - _RETURN_SECONDS
        return zones - {
            zone for zone, at in self._withdrawn_at.items() if at > earliest
        }

    def is_local(self, candidate: Candidate) -> bool:
        """Returns whether an instance is in the own zone."""
        return candidate.availability_zone == self.own_zone

    def has_local_instance(self, service: str) -> bool:
        """Returns whether an instance of the own zone takes requests."""
        return bool(self._get_groups(service).local)

    def has_instance(self, service: str) -> bool:
        """Returns whether a service has an instance that takes requests."""
        groups = self._get_groups(service)
        return bool(groups.local or groups.others)

    def is_busy(self, candidate: Candidate) -> bool:
        """Returns whether an instance was full or slow very recently."""
        view = self._views[candidate.node_id]
        return view.get_condition(self._clock.monotonic()).busy

    def record_start(self, candidate: Candidate) -> None:
        """Records that a request was sent to the candidate."""
        self._views[candidate.node_id].in_flight += 1

    def record_end(
        self, candidate: Candidate, report: LoadReport | None, code: str = ""
    ) -> None:
        """Records the end of a request.

        Args:
            candidate: The instance that the request was sent to.
            report: The load report that came with the response or refusal, or
                None.
            code: The code of the refusal, or the empty string.
        """
        view = self._views[candidate.node_id]
        view.in_flight -= 1
        now = self._clock.monotonic()
        if report is not None:
            view.observe_report(report, now)
        elif code in UNREACHABLE_CODES:
            view.avoid(now)

    def _on_member_change(self, member: Member, source: str | None) -> None:
        self._groups_by_service = None

    def _get_groups(self, service: str) -> MemberGroups:
        """Returns the members whose instance of a service takes requests.

        Instances of versions that must not be chosen are left out.
        """
        groups = self._get_groups_in_service(service)
        excluded = self._get_excluded(service)
        return groups.without_nodes(excluded) if excluded else groups

    def _get_groups_in_service(self, service: str) -> MemberGroups:
        """Returns the members of the zones that are in service."""
        # The table changes rarely, but each request reads it.
        if self._groups_by_service is None:
            self._groups_by_service = self._group_members()
        groups = self._groups_by_service.get(service, _NO_MEMBERS)
        withdrawn = {
            zone for zone in groups.zones if not self._is_in_service(zone)
        }
        if not withdrawn:
            return groups
        now = self._clock.monotonic()
        self._withdrawn_at.update(dict.fromkeys(withdrawn, now))
        return groups.without_zones(withdrawn)

    def _group_members(self) -> dict[str, MemberGroups]:
        grouped: defaultdict[str, list[Member]] = defaultdict(list)
        for member in filter(_accepts_requests, self._table):
            assert member.upstream is not None
            grouped[member.upstream.service].append(member)
        return {
            service: MemberGroups.from_members(members, self.own_zone)
            for service, members in grouped.items()
        }

    def _rank_best(
        self, members: Iterable[Member], excluded: Collection[str], now: float
    ) -> RankedMember | None:
        """Returns the member that ranks first, or None if there is none."""
        ranked = [
            self._rank(member, now)
            for member in members
            if member.node_id not in excluded
        ]
        return min(ranked, default=None)

    def _rank(self, member: Member, now: float) -> RankedMember:
        assert member.upstream is not None
        view = self._views[member.node_id]
        condition = view.get_condition(now)
        if member.status is MemberStatus.SUSPECT:
            condition = condition._replace(avoided=True)
        load = view.get_load(member.upstream.slots, now)
        return RankedMember(condition, load, self._rng.random(), member)


def _accepts_requests(member: Member) -> bool:
    return (
        member.upstream is not None
        and member.upstream.state in _ACCEPTING_STATES
        and member.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
    )
