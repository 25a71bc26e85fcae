"""The instances on this host that have announced their departure."""

import itertools
from collections.abc import Iterator

from rhubarbpaddle.node.instance_boot import InstanceBoot

# More than the instances that one host runs within a minute.
_MAX_INSTANCES = 16


class Departures:
    """Remembers the newest departed boot of each instance.

    An instance may start again under its id with a higher incarnation. All its
    earlier boots have then ended as well.
    """

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}

    def __contains__(self, instance: str) -> bool:
        return instance in self._incarnations

    def __iter__(self) -> Iterator[InstanceBoot]:
        return itertools.starmap(InstanceBoot, self._incarnations.items())

    def record(self, boot: InstanceBoot) -> None:
        """Records that a boot and those before it have departed.

        Of too many instances, the one that was recorded first is forgotten.
        """
        previous = self._incarnations.pop(boot.instance, 0)
        if len(self._incarnations) >= _MAX_INSTANCES:
            del self._incarnations[next(iter(self._incarnations))]
        self._incarnations[boot.instance] = max(boot.incarnation, previous)

    def has_departed(self, boot: InstanceBoot) -> bool:
        """Returns whether a boot has departed."""
        return boot.incarnation <= self._incarnations.get(boot.instance, -1)
