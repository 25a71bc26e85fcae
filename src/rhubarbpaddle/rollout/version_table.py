"""The versions of all instances, and which version a service uses."""

import math
from collections import defaultdict
from collections.abc import Callable, Mapping, Set

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.rollout.instance_version import NO_VERSION, UNKNOWN_VERSION
from rhubarbpaddle.rollout.phase_notice import PhaseNotice
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase
from rhubarbpaddle.rollout.service_versions import ServiceVersions

_ACCEPTING_STATES = (UpstreamState.COLD, UpstreamState.WARM)
_ACCEPTING_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
_NO_VERSIONS = ServiceVersions({}, frozenset())
# A node that starts learns of the instances one after another. After this time
# it knows those of the version in use.
_SETTLE_SECONDS = 3.0
# A version whose instances have been absent for this time, while others were
# present, is a new one if it returns. Partitions last 8 s.
_FORGET_SECONDS = 60.0
_MAX_REMEMBERED_INSTANCES = 4096


class VersionTable:
    """Groups the members by service and version.

    An instance that was found by a health check has the version that it had
    before the node beside it was started again.
    """

    def __init__(
        self,
        table: MemberTable,
        clock: Clock,
        is_in_service: Callable[[str], bool],
    ) -> None:
        """Creates a table.

        Args:
            table: The nodes and their instances.
            clock: The source of time.
            is_in_service: Returns whether a zone may receive new requests.
        """
        self._table = table
        self._clock = clock
        self._is_in_service = is_in_service
        self._services: dict[str, ServiceVersions] | None = None
        # The results of `get_used_version` for the present groups.
        self._used_by_target: dict[tuple[str, str | None], str | None] = {}
        self._remembered: dict[tuple[str, str], str] = {}
        # The first known start of an instance, by service and version. It is
        # kept when the instance starts again.
        self._first_starts: dict[tuple[str, str], int] = {}
        # The version in use and since when, by service.
        self._used: dict[str, tuple[str, float]] = {}
        # When this node first saw a version, by service and version, and an
        # instance of unknown version, by node.
        self._first_seen: dict[tuple[str, str], float] = {}
        self._unknown_since: dict[str, float] = {}
        # Since when only other versions are present, by service and version.
        self._absent_since: dict[tuple[str, str], float] = {}
        # The versions that orders have named, and the target of the last
        # completed one, by service.
        self._ordered: defaultdict[str, set[str]] = defaultdict(set)
        self._completed: dict[str, str] = {}
        table.add_listener(self._on_member_change)

    def get_versions(self, service: str) -> ServiceVersions:
        """Returns the instances of a service by version."""
        # The table changes rarely, but each request reads it.
        if self._services is None:
            self._services = self._group_members()
        return self._services.get(service, _NO_VERSIONS)

    def invalidate(self) -> None:
        """Regroups the members, as after a change of zones or orders."""
        self._services = None
        self._used_by_target.clear()

    def record_phase(self, notice: PhaseNotice) -> None:
        """Records which version a roll-out names or has put into use."""
        service, version = notice.service, notice.target_version
        self._ordered[service].add(version)
        if notice.phase is RolloutPhase.COMPLETED:
            self._used[service] = version, float("-inf")
            self._completed[service] = version
        self.invalidate()

    def is_barred(self, service: str, version: str) -> bool:
        """Returns whether a version may get requests only if it is in use.

        These are the versions that an order has named, and those that started
        before the target of the last completed roll-out, which has replaced
        them. A node that has started since then can tell them from later ones.
        """
        if version in self._ordered.get(service, ()):
            return True
        completed = self._completed.get(service)
        return completed is not None and self._first_starts[
            service, version
        ] < self._first_starts.get((service, completed), math.inf)

    def get_first_seen(self, service: str, version: str) -> float:
        """Returns when this node first saw an instance of a version."""
        return self._first_seen[service, version]

    def get_unknown_since(self, node_id: str) -> float:
        """Returns since when the version of a node's instance is unknown."""
        return self._unknown_since[node_id]

    def is_used(self, service: str, version: str) -> bool:
        """Returns whether a version has been in use for a while."""
        used, since = self._used.get(service, (None, 0.0))
        return used == version and (
            self._clock.monotonic() - since >= _SETTLE_SECONDS
        )

    def get_used_version(self, service: str, target: str | None) -> str | None:
        """Returns the version that a service uses apart from roll-outs.

        It is the target of the last completed roll-out. Without one, it is the
        version whose first instance started before those of all others:
        instances of a version that an order will name are started beside those
        in use.

        Args:
            service: The service.
            target: The target version of a roll-out, which is not in use, or
                None.

        Returns:
            The version, or None if no instance has a known version.
        """
        key = service, target
        if key not in self._used_by_target:
            version = self._find_first_started(service, target)
            self._used_by_target[key] = version
            used, _ = self._used.get(service, (None, 0.0))
            if version is not None and version != used:
                self._used[service] = version, self._clock.monotonic()
        return self._used_by_target[key]

    def _find_first_started(
        self, service: str, target: str | None
    ) -> str | None:
        present = self.get_versions(service).present.difference(
            (target, NO_VERSION, UNKNOWN_VERSION)
        )
        completed = self._completed.get(service)
        return min(
            present,
            key=lambda name: (
                name != completed,
                self._first_starts[service, name],
                name,
            ),
            default=None,
        )

    def _on_member_change(self, member: Member, source: str | None) -> None:
        self.invalidate()
        upstream = member.upstream
        if upstream is None or upstream.version != UNKNOWN_VERSION:
            self._unknown_since.pop(member.node_id, None)
        elif member.node_id not in self._unknown_since:
            self._unknown_since[member.node_id] = self._clock.monotonic()
        if upstream is not None and upstream.version not in (
            NO_VERSION,
            UNKNOWN_VERSION,
        ):
            service_version = upstream.service, upstream.version
            self._forget_absent(service_version)
            if service_version not in self._first_seen:
                self._first_seen[service_version] = self._clock.monotonic()
            self._first_starts[service_version] = min(
                upstream.incarnation,
                self._first_starts.get(service_version, upstream.incarnation),
            )
            key = upstream.service, upstream.instance
            self._remembered.pop(key, None)
            if len(self._remembered) >= _MAX_REMEMBERED_INSTANCES:
                del self._remembered[next(iter(self._remembered))]
            self._remembered[key] = upstream.version

    def _forget_absent(self, service_version: tuple[str, str]) -> None:
        """Forgets a version that returns after others have replaced it."""
        absent_since = self._absent_since.get(service_version, float("inf"))
        if self._clock.monotonic() - absent_since >= _FORGET_SECONDS:
            del self._absent_since[service_version]
            del self._first_starts[service_version]
            del self._first_seen[service_version]

    def _record_absent(self, present: Mapping[str, Set[str]]) -> None:
        now = self._clock.monotonic()
        for service, version in self._first_seen:
            if service in present and version not in present[service]:
                self._absent_since.setdefault((service, version), now)
            else:
                self._absent_since.pop((service, version), None)

    def _group_members(self) -> dict[str, ServiceVersions]:
        accepting: defaultdict[str, defaultdict[str, set[str]]] = defaultdict(
            lambda: defaultdict(set)
        )
        present: defaultdict[str, set[str]] = defaultdict(set)
        for member in self._table:
            upstream = member.upstream
            if (
                upstream is None
                or member.status not in _ACCEPTING_STATUSES
                or upstream.state is UpstreamState.LEAVING
            ):
                continue
            version = self._resolve(upstream)
            present[upstream.service].add(version)
            if upstream.state in _ACCEPTING_STATES and self._is_in_service(
                member.availability_zone
            ):
                accepting[upstream.service][version].add(member.node_id)
        self._record_absent(present)
        return {
            service: ServiceVersions(
                {
                    version: frozenset(node_ids)
                    for version, node_ids in accepting[service].items()
                },
                frozenset(versions),
            )
            for service, versions in present.items()
        }

    def _resolve(self, upstream: UpstreamSummary) -> str:
        if upstream.version != UNKNOWN_VERSION:
            return upstream.version
        return self._remembered.get(
            (upstream.service, upstream.instance), UNKNOWN_VERSION
        )
