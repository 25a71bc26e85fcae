"""Rolls out a new version, as operators do."""

import json
import math
import random

import trio

from soak.deployment import SoakDeployment
from soak.host import SERVICE, SoakHost
from soak.records import Fault
from soak.rollout_record import FINAL_STATES, RolloutRecord

_VERSION = "v2"
_KEY = f"rollout/{SERVICE}"
# The share of its requests that an instance of a bad version fails.
_FAILURE_SHARE = 0.3
_MAX_DURATION_SECONDS = 12
# The state may be written late.
_LATE_SECONDS = 3.0
_DRAIN_SECONDS = 2.0
_REPORT_SECONDS = 0.5
# The kind changes after so many seeds, so that both kinds occur among the seeds
# that run planned operations only, which are every fourth.
_SEEDS_PER_KIND = 4


class RolloutCourse:
    """Starts new instances, orders their roll-out and follows its state."""

    def __init__(
        self,
        deployment: SoakDeployment,
        busy_hosts: set[str],
        seed: int,
        seconds: float,
    ) -> None:
        """Creates a roll-out that is not ordered yet.

        Args:
            deployment: The deployment whose service gets a new version.
            busy_hosts: The names of the hosts that have a fault; shared with
                the faults of the run.
            seed: The seed of the run.
            seconds: How long faults are injected. The roll-out may last 3 s
                longer.
        """
        self._deployment = deployment
        self._busy_hosts = busy_hosts
        self._rng = random.Random(f"rollout-{seed}")
        self._is_bad = seed // _SEEDS_PER_KIND % 2 == 0
        self._record: RolloutRecord | None = None
        self._duration = min(_MAX_DURATION_SECONDS, int(seconds) + 3)

    async def run(self) -> None:
        """Rolls the version out until it has ended or is late."""
        deployment = self._deployment
        for host in deployment.target_hosts:
            host.version = _VERSION
            host.failure_share = _FAILURE_SHARE if self._is_bad else 0.0
            await host.start_instance(deployment.nursery)
        await trio.sleep(self._rng.uniform(0.3, 1.0))
        order = {
            "service": SERVICE,
            "targetVersion": _VERSION,
            "durationS": self._duration,
        }
        ordered_at = trio.current_time()
        deployment.store.put("keyed.op", _KEY, json.dumps(order).encode())
        deadline = ordered_at + self._duration
        ended_at = math.inf
        with trio.move_on_at(deadline + _LATE_SECONDS):
            while not FINAL_STATES.intersection(self.read_states()):
                await deployment.store.wait_for_record()
            ended_at = trio.current_time()
        record = self._record = RolloutRecord(
            _VERSION,
            self._is_bad,
            ordered_at,
            deadline,
            self.read_states(),
            ended_at,
        )
        await self._finish(record)

    def get_record(self) -> RolloutRecord:
        """Returns what was observed, after the roll-out has ended."""
        assert self._record is not None
        return self._record

    def read_states(self) -> tuple[str, ...]:
        """Returns all states in the store, the oldest first."""
        records = self._deployment.store.list_records("keyed.status", _KEY)
        return tuple(json.loads(record.value)["state"] for record in records)

    async def _finish(self, record: RolloutRecord) -> None:
        deployment = self._deployment
        async with trio.open_nursery() as nursery:
            if record.final_state == "completed":
                for host in deployment.hosts:
                    host.version = record.target_version
                    nursery.start_soon(self._replace_at_once, host)
            else:
                for host in deployment.target_hosts:
                    nursery.start_soon(self._drain, host)
        deployment.faults.append(
            Fault(
                f"rollout_{record.final_state or 'unfinished'}",
                "all",
                record.ordered_at,
                trio.current_time(),
                is_planned=True,
            )
        )

    async def _replace_at_once(self, host: SoakHost) -> None:
        """Replaces an old instance, which does not finish its requests."""
        if host.name in self._busy_hosts:
            # Its fault uses the old instance, or will start a new one.
            return
        self._busy_hosts.add(host.name)
        host.crash_instance()
        await host.start_instance(self._deployment.nursery)
        self._busy_hosts.discard(host.name)

    async def _drain(self, host: SoakHost) -> None:
        instance = host.instance
        assert instance is not None
        instance.leave()
        await trio.sleep(_REPORT_SECONDS + _DRAIN_SECONDS)
        if instance.departure_acknowledged_at is not None:
            self._deployment.drain_deadlines[instance.instance_id] = (
                instance.departure_acknowledged_at + _DRAIN_SECONDS
            )
        host.crash_instance()
