"""How soon instances of a new version get requests without an order."""

import math

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.rollout.instance_version import NO_VERSION, UNKNOWN_VERSION
from rhubarbpaddle.rollout.probation_groups import ProbationGroups
from rhubarbpaddle.rollout.service_versions import ServiceVersions
from rhubarbpaddle.rollout.version_table import VersionTable

# Instances that are started together with an order report up to a second before
# a node learns of the order.
_HOLD_SECONDS = 1.0
# A node learns of an order within the time in which configurations come into
# force (2.5 s). Twice that time allows for a slow store.
_PROBATION_SECONDS = 5.0
_NONE: frozenset[str] = frozenset()
_NO_GROUPS = ProbationGroups(_NONE, _NONE, False, math.inf)


class VersionProbation:
    """Groups the instances of versions that no order has named.

    Most of them replace instances of the version in use and must get requests,
    but an order that this node does not know yet may name their version. A new
    version therefore gets no requests first (hold), then the share that a
    version on trial gets, and then as many as the version in use (released).
    """

    def __init__(self, versions: VersionTable, clock: Clock) -> None:
        """Creates the groups of all services.

        Args:
            versions: The versions of all instances.
            clock: The source of time.
        """
        self._versions = versions
        self._clock = clock
        # The groups with the versions that they were made of, by service.
        self._known: dict[
            str, tuple[ServiceVersions, str, ProbationGroups]
        ] = {}

    def get_groups(self, service: str, used: str | None) -> ProbationGroups:
        """Returns the groups of a service.

        Args:
            service: The service.
            used: The version in use, or None if none is known.
        """
        versions = self._versions.get_versions(service)
        if used is None or len(versions.accepting) < 2:
            return _NO_GROUPS
        # Each request asks for the groups, which rarely change.
        known, known_used, groups = self._known.get(
            service, (None, None, _NO_GROUPS)
        )
        now = self._clock.monotonic()
        if (
            known is not versions
            or known_used != used
            or now >= groups.valid_until
        ):
            groups = self._group(service, versions, used, now)
            self._known[service] = versions, used, groups
        return groups

    def get_unreported(self, service: str) -> frozenset[str]:
        """Returns the nodes whose instance has sent no report for long.

        An instance of a version that an order will name has sent one by then.
        """
        earliest = self._clock.monotonic() - _PROBATION_SECONDS
        versions = self._versions.get_versions(service)
        return frozenset(
            node_id
            for node_id in versions.get_nodes(UNKNOWN_VERSION)
            if self._versions.get_unknown_since(node_id) <= earliest
        )

    def _group(
        self, service: str, versions: ServiceVersions, used: str, now: float
    ) -> ProbationGroups:
        limited, released, changes = _NONE, _NONE, []
        for version, node_ids in versions.accepting.items():
            if version in (
                used,
                NO_VERSION,
                UNKNOWN_VERSION,
            ) or self._versions.is_barred(service, version):
                continue
            first_seen = self._versions.get_first_seen(service, version)
            if now >= first_seen + _PROBATION_SECONDS:
                released |= node_ids
            elif now >= first_seen + _HOLD_SECONDS:
                limited |= node_ids
                changes.append(first_seen + _PROBATION_SECONDS)
            else:
                changes.append(first_seen + _HOLD_SECONDS)
        return ProbationGroups(
            limited, released, bool(changes), min(changes, default=math.inf)
        )
