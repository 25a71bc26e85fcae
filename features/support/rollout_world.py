"""A service with instances of two versions, under a steady load."""

import json
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import trio
from trio.testing import MockClock

from features.support.platform_world import (
    SERVICE,
    SETTLE_SECONDS,
    PlatformWorld,
    make_configuration,
)
from rhubarbpaddle.exceptions import RhubarbpaddleError
from standins.platform_documents import make_route_entry

TERMS = {"exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000}
DURATION_SECONDS = 12
_REPORT_INTERVAL_SECONDS = 0.5
_KEY = f"rollout/{SERVICE}"


class RolloutWorld(PlatformWorld):
    """Runs instances of versions v1 and v2, each beside a node."""

    def __init__(self, nursery: trio.Nursery) -> None:
        super().__init__(nursery)
        self.bounds = dict(TERMS)
        self.versions: dict[str, str] = {}
        self.statuses: list[int] = []
        self.rate = 60.0
        self.report_interval = _REPORT_INTERVAL_SECONDS
        self._load_scope = trio.CancelScope()
        self._reporting: dict[str, trio.CancelScope] = {}
        self._requests = 0
        self._rng = random.Random(1)
        self._born = 1_000

    async def start(self, old: int = 4, new: int = 2) -> None:
        """Starts the store, the hosts and the load."""
        configuration = make_configuration()
        route = make_route_entry(
            "other", "club.example", "/lanes/other/", "idempotent", SERVICE
        )
        configuration["resources"].append(route)
        await self.start_store(configuration)
        for index in range(old):
            await self.start_version(f"o{index}", "v1", "ab"[index % 2])
        await trio.sleep(SETTLE_SECONDS)
        self.nursery.start_soon(self._send_load)
        await trio.sleep(1)
        for index in range(new):
            await self.start_version(f"n{index}", "v2", "ab"[index % 2])
        await trio.sleep(SETTLE_SECONDS)

    async def start_version(self, name: str, version: str, zone: str) -> None:
        """Starts a host with an instance that reports its version."""
        self.versions[name] = version
        await self.start_host(name, zone)
        self._start_reports(name, version)

    def replace_instance(self, name: str, version: str) -> None:
        """Replaces the instance of a host by one of another version."""
        self.stop_reports(name)
        self._start_reports(name, version)

    def _start_reports(self, name: str, version: str) -> None:
        self.versions[name] = version
        self._born += 100
        scope = self._reporting[name] = trio.CancelScope()
        self.nursery.start_soon(self._report, name, self._born, scope)

    def stop_reports(self, name: str) -> None:
        """Ends the reports of an instance."""
        self._reporting[name].cancel()

    def order(self, target: str = "v2", service: str = SERVICE) -> None:
        """Writes an order, as operators do."""
        document = {
            "service": service,
            "targetVersion": target,
            "durationS": DURATION_SECONDS,
        }
        value = json.dumps(document).encode()
        self.store.put("keyed.op", f"rollout/{service}", value)

    def delete_order(self) -> None:
        """Deletes the order, as operators do."""
        self.store.put("keyed.op", _KEY, b"")

    def list_states(self, service: str = SERVICE) -> list[dict[str, Any]]:
        """Returns all statuses that were written, the oldest first."""
        records = self.store.list_records("keyed.status", f"rollout/{service}")
        return [json.loads(record.value) for record in records]

    async def wait_for_state(self, state: str, limit: float) -> float:
        """Waits until the newest status has a state.

        Returns:
            How long it took.
        """
        started = trio.current_time()
        while trio.current_time() - started < limit:
            states = self.list_states()
            if states and states[-1]["state"] == state:
                return trio.current_time() - started
            await trio.sleep(0.02)
        raise AssertionError(f"not {state} in {limit} s: {self.list_states()}")

    async def wait_for_arrival(self, version: str, limit: float) -> None:
        """Waits until another request reaches a version."""
        started = trio.current_time()
        count = self.count_arrivals(version)
        while trio.current_time() - started < limit:
            if self.count_arrivals(version) > count:
                return
            await trio.sleep(0.02)
        raise AssertionError(f"no request reached {version} in {limit} s")

    def list_arrivals(self, version: str) -> list[str]:
        """Returns the ids of the requests that reached a version."""
        return [
            request_id
            for name, instance in self.instances.items()
            if self.versions[name] == version
            for request_id in instance.arrivals
        ]

    def count_arrivals(self, version: str) -> int:
        """Returns the number of requests that reached a version."""
        return len(self.list_arrivals(version))

    def break_off_responses(self, version: str) -> None:
        """Makes the instances of a version omit the end of each response."""
        for name, instance in self.instances.items():
            if self.versions[name] == version:
                instance.truncated_length = -1

    def set_failures(
        self, version: str, share: float, prefix: str = "/"
    ) -> None:
        """Makes the instances of a version fail a share of the requests."""

        def get_status(target: str) -> int:
            fails = target.startswith(prefix) and self._rng.random() < share
            return 500 if fails else 200

        for name, instance in self.instances.items():
            if self.versions[name] == version:
                instance.get_status = get_status

    def set_work_seconds(self, version: str, seconds: float) -> None:
        """Changes how long the instances of a version work."""
        for name, instance in self.instances.items():
            if self.versions[name] == version:
                instance.work_seconds = seconds

    def get_decider(self) -> str:
        """Returns the node that the others regard as elected."""
        for name, node in self.nodes.items():
            if node._rollouts.board.get_notice(SERVICE) is None:
                continue
            election = node._rollouts.election
            if election.get_rank(SERVICE) == 0:
                return name
        raise AssertionError("no node is elected")

    async def _send_load(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(1 / self.rate)
                self._requests += 1
                names = sorted(self.nodes)
                if names:
                    name = names[self._requests % len(names)]
                    nursery.start_soon(self._send_one, name, self._requests)

    async def _send_one(self, name: str, number: int) -> None:
        target = "/lanes/other/x" if number % 3 == 0 else "/lanes/x"
        # The node may have been killed.
        with suppress(OSError, RhubarbpaddleError):
            response = await self.send_request(name, f"q{number}", target)
            self.statuses.append(response.status)

    async def _report(
        self, name: str, born: int, scope: trio.CancelScope
    ) -> None:
        sequence = 0
        with scope:
            while True:
                sequence += 1
                # The node beside the instance may not run.
                with suppress(OSError, RhubarbpaddleError):
                    await self.report(
                        name,
                        seq=sequence,
                        born=born,
                        version=self.versions[name],
                    )
                await trio.sleep(self.report_interval)


def run_rollout_world(
    scenario: Callable[[RolloutWorld], Awaitable[None]],
) -> None:
    """Runs a scenario in virtual time."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            await scenario(RolloutWorld(nursery))
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
