"""Routing by recent load reports, with a preference for the local zone."""

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterator

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
)
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_view import InstanceView

_ACCEPTING_STATES = (UpstreamState.COLD, UpstreamState.WARM)
_UNREACHABLE_CODES = frozenset({"peer_unreachable", "peer_lost", "peer_silent"})


class InstanceRouter:
    """Prefers the local availability zone while it has spare capacity.

    The node beside the chosen instance knows the current load and refuses a
    request immediately if needed, so a wrong choice costs a round trip and no
    work.
    """

    def __init__(
        self,
        table: MemberTable,
        clock: Clock,
        rng: random.Random,
        is_in_service: Callable[[str], bool],
    ) -> None:
        """Creates a router.

        Args:
            table: The nodes and their instances.
            clock: The source of time.
            rng: Breaks ties, so that nodes don't all choose the same instance.
            is_in_service: Returns whether a zone may receive new requests.
        """
        self._table = table
        self._clock = clock
        self._rng = rng
        self._is_in_service = is_in_service
        self._views: defaultdict[str, InstanceView] = defaultdict(InstanceView)
        self._members_by_service: dict[str, list[Member]] | None = None
        table.add_listener(self._on_member_change)

    def choose(
        self, service: str, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns the instance for the next attempt, or None if none remains.

        Args:
            service: The service that the request is for.
            excluded: Node ids that must not be chosen.
        """
        members = [
            member
            for member in self._iter_members(service)
            if member.node_id not in excluded
        ]
        if not members:
            return None
        now = self._clock.monotonic()
        return Candidate.from_member(
            min(members, key=lambda member: self._get_rank(member, now))
        )

    def has_instance(self, service: str) -> bool:
        """Returns whether a service has an instance that takes requests."""
        return next(self._iter_members(service), None) is not None

    def is_busy(self, candidate: Candidate) -> bool:
        """Returns whether an instance was full or slow very recently."""
        view = self._views[candidate.node_id]
        return view.is_busy(self._clock.monotonic())

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
        elif code in _UNREACHABLE_CODES:
            view.avoid(now)

    def _on_member_change(self, member: Member, source: str | None) -> None:
        self._members_by_service = None

    def _iter_members(self, service: str) -> Iterator[Member]:
        # The table changes rarely, but each request reads it.
        if self._members_by_service is None:
            self._members_by_service = defaultdict(list)
            for member in filter(_accepts_requests, self._table):
                assert member.upstream is not None
                self._members_by_service[member.upstream.service].append(member)
        for member in self._members_by_service.get(service, ()):
            if self._is_in_service(member.availability_zone):
                yield member

    def _get_rank(self, member: Member, now: float) -> tuple[float, ...]:
        assert member.upstream is not None
        view = self._views[member.node_id]
        own_zone = self._table.own.availability_zone
        return (
            member.status is MemberStatus.SUSPECT or view.is_avoided(now),
            view.is_busy(now),
            view.is_slow(now),
            view.is_cold(),
            member.availability_zone != own_zone,
            view.get_load(member.upstream.slots, now),
            self._rng.random(),
        )


def _accepts_requests(member: Member) -> bool:
    return (
        member.upstream is not None
        and member.upstream.state in _ACCEPTING_STATES
        and member.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
    )
