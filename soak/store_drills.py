"""Drills, in which the store comes back from an older copy."""

import random
from collections.abc import Mapping

import trio

from soak.deployment import SoakDeployment
from soak.records import DRILL, Fault
from standins.platform_store import StoredRecord

_OPERATORS_TOPIC = "keyed.op"
_MAX_LOST_CHANGES = 3
_PAUSE_SECONDS = (0.5, 7.0)


class StoreDrills:
    """Plays drills at random times, also soon after each other.

    Operators write again the newest record of each of their keys that the store
    has lost. What nodes had written is theirs to write again.
    """

    def __init__(self, deployment: SoakDeployment, seed: int) -> None:
        """Creates drills for a deployment.

        Args:
            deployment: The deployment whose store is affected.
            seed: The seed of the run, whose other faults stay the same.
        """
        self._deployment = deployment
        self._rng = random.Random(f"drill-{seed}")

    async def run(self) -> None:
        """Plays drills until cancelled."""
        while True:
            await trio.sleep(self._rng.uniform(*_PAUSE_SECONDS))
            # Shielded so that a drill is complete even if the run ends.
            with trio.CancelScope(shield=True):
                await self._play()

    async def _play(self) -> None:
        deployment, rng = self._deployment, self._rng
        copy = deployment.store.copy()
        for _ in range(rng.randint(0, _MAX_LOST_CHANGES)):
            deployment.change_configuration()
            await trio.sleep(rng.uniform(0.0, 1.0))
        started_at = trio.current_time()
        deployment.store.is_away = True
        for host in (*deployment.hosts, *deployment.target_hosts):
            host.store_proxy.reset()
        await trio.sleep(rng.uniform(0.2, 1.5))
        lost = self._list_written_since(copy)
        deployment.store.restore(copy)
        deployment.store.is_away = False
        await trio.sleep(rng.choice((0.0, rng.uniform(0.0, 3.0))))
        # Operators don't replace what they have written since.
        written = {record.key for record in self._list_written_since(copy)}
        for record in lost:
            if record.key not in written:
                deployment.store.put(_OPERATORS_TOPIC, record.key, record.value)
        deployment.faults.append(
            Fault(
                DRILL,
                "all",
                started_at,
                trio.current_time(),
                is_planned=False,
            )
        )

    def _list_written_since(
        self, copy: Mapping[str, tuple[StoredRecord, ...]]
    ) -> list[StoredRecord]:
        """Returns the newest record of each key written since a copy."""
        kept = set(copy.get(_OPERATORS_TOPIC, ()))
        records = self._deployment.store.copy()[_OPERATORS_TOPIC]
        newest = {
            record.key: record for record in records if record not in kept
        }
        return sorted(newest.values(), key=lambda record: record.offset)
