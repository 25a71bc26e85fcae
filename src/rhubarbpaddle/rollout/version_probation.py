"""How soon instances of a new version get requests without an order."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.rollout.instance_version import NO_VERSION, UNKNOWN_VERSION
from rhubarbpaddle.rollout.version_table import VersionTable

# Instances that are started together with an order report up to a second before
# a node learns of the order.
_HOLD_SECONDS = 1.0
# A node learns of an order within the time in which configurations come into
# force (2.5 s). Twice that time allows for a slow store.
_PROBATION_SECONDS = 5.0
_NONE: frozenset[str] = frozenset()


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

    def is_active(self, service: str, used: str) -> bool:
        """Returns whether a version is new, so that its share is limited."""
        earliest = self._clock.monotonic() - _PROBATION_SECONDS
        return any(
            self._versions.get_first_seen(service, version) > earliest
            for version in self._list_unordered(service, used)
        )

    def get_limited(self, service: str, used: str) -> frozenset[str]:
        """Returns the nodes whose instance gets a limited share."""
        now = self._clock.monotonic()
        versions = self._versions.get_versions(service)
        return _NONE.union(
            *(
                versions.get_nodes(version)
                for version in self._list_unordered(service, used)
                if _HOLD_SECONDS
                <= now - self._versions.get_first_seen(service, version)
                < _PROBATION_SECONDS
            )
        )

    def get_released(self, service: str, used: str) -> frozenset[str]:
        """Returns the nodes whose instance gets requests without a limit."""
        earliest = self._clock.monotonic() - _PROBATION_SECONDS
        versions = self._versions.get_versions(service)
        return _NONE.union(
            *(
                versions.get_nodes(version)
                for version in self._list_unordered(service, used)
                if self._versions.get_first_seen(service, version) <= earliest
            )
        )

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

    def _list_unordered(self, service: str, used: str) -> list[str]:
        return [
            version
            for version in self._versions.get_versions(service).accepting
            if version not in (used, NO_VERSION, UNKNOWN_VERSION)
            and not self._versions.is_barred(service, version)
        ]
