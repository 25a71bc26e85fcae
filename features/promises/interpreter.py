"""Executes the operations of a run on nodes in one process."""

from collections import Counter
from collections.abc import Sequence

import trio
from trio.testing import MockClock

from features.promises.operation import Operation
from features.promises.oracle import WITHDRAWAL_SECONDS, Oracle
from features.promises.sent_request import SentRequest
from features.promises.world import NODES, SERVICES, ZONES, World

_SETTLE_SECONDS = 10.0
# Leases, claims and suspicions of members from the run have ended by then.
_RECOVERY_SECONDS = 30.0


class Interpreter:
    """Executes operations and lets the oracle check their effects.

    Operations call the public methods by name, except `run`.

    Attributes:
        operations: How often each operation was executed, by name.
        checked: How many checks the oracle made, by name.
    """

    def __init__(self, seed: int) -> None:
        self.operations: Counter[str] = Counter()
        self.checked: Counter[str] = Counter()
        self._seed = seed

    def run(self, operations: Sequence[Operation]) -> None:
        """Runs all operations in virtual time.

        Raises:
            AssertionError: A promise was broken.
        """
        clock = MockClock(autojump_threshold=0)
        trio.run(self._run, operations, clock=clock)

    async def _run(self, operations: Sequence[Operation]) -> None:
        async with trio.open_nursery() as nursery:
            self._world = World(nursery, self._seed)
            await self._world.start()
            await trio.sleep(_SETTLE_SECONDS)
            for operation in operations:
                self.operations[operation.name] += 1
                await getattr(self, operation.name)(*operation.arguments)
            await self._check()
            nursery.cancel_scope.cancel()

    async def _check(self) -> None:
        """Ends all faults, waits for the nodes to recover and checks."""
        oracle = Oracle(self._world)
        # Requests that are still in flight may crash upstreams.
        for _ in range(2):
            await self.end_faults()
            await trio.sleep(_RECOVERY_SECONDS / 2)
        oracle.check_all()
        oracle.check_agreement()
        requests = [
            SentRequest(f"final-{node}-{service}", service, "GET", "")
            for node in NODES
            for service in SERVICES
        ]
        for node, request in zip(
            sorted(NODES * 2)[: len(requests)], requests, strict=True
        ):
            self._world.send(node, request)
        await trio.sleep(_SETTLE_SECONDS)
        oracle.check_served(requests)
        await self._withdraw_zone(oracle)
        await self._leave_under_load()
        oracle.check_all()
        self.checked.update(oracle.checked)

    async def _withdraw_zone(self, oracle: Oracle) -> None:
        """Withdraws an availability zone just before an outage of the log."""
        world = self._world
        world.publish(frozenset({ZONES[1]}), world.get_accepted_version())
        published = trio.current_time()
        await trio.sleep(0.5)
        world.log.available = False
        await self._send_continuously("zone", WITHDRAWAL_SECONDS + 2.0)
        oracle.check_withdrawn(ZONES[1], published, trio.current_time())
        world.log.available = True
        world.publish(frozenset(), world.get_accepted_version())
        await trio.sleep(_SETTLE_SECONDS)

    async def _leave_under_load(self) -> None:
        """Lets one upstream of each service leave while requests are sent."""
        for service in SERVICES:
            self._world.live_upstreams[f"{service}-{ZONES[0]}"].leave()
        await self._send_continuously("leave", WITHDRAWAL_SECONDS + 2.0)

    async def _send_continuously(self, kind: str, seconds: float) -> None:
        for index in range(int(seconds / 0.05)):
            node = NODES[index % len(NODES)]
            for service in SERVICES:
                marker = f"{kind}{len(self._world.sent)}"
                request = SentRequest(marker, service, "GET", "")
                self._world.send(node, request)
            await trio.sleep(0.05)

    async def advance(self, seconds: float) -> None:
        """Waits for this duration of virtual time."""
        await trio.sleep(seconds)

    async def send(
        self, node: str, service: str, kind: str, method: str, count: int
    ) -> None:
        """Starts requests at the same time.

        Args:
            node: The node that receives them.
            service: The service that they are for.
            kind: The prefix of their markers. `RecordingUpstream` responds to
                `large` with a large body and crashes on `crash`.
            method: The HTTP method.
            count: The number of requests.
        """
        for _ in range(count):
            marker = f"{kind}{len(self._world.sent)}"
            key = self._world.make_key() if method == "POST" else ""
            request = SentRequest(marker, service, method, key)
            self._world.send(node, request)
        await trio.lowlevel.checkpoint()

    async def send_again(self, index: int, node: str) -> None:
        """Sends a copy of an earlier request to a node."""
        if self._world.sent:
            first = self._world.sent[index % len(self._world.sent)]
            request = SentRequest(
                first.marker, first.service, first.method, first.key
            )
            self._world.send(node, request)
        await trio.lowlevel.checkpoint()

    async def replace_node(self, node: str, pause: float) -> None:
        """Kills a node and starts it again, without state, after a pause."""
        self._world.kill_node(node)
        await trio.sleep(pause)
        await self._world.start_node(node)

    async def replace_upstream(self, node: str, pause: float) -> None:
        """Kills an upstream and starts another one after a pause."""
        self._world.kill_upstream(node)
        await trio.sleep(pause)
        await self._world.start_upstream(node)

    async def slow_down(self, node: str, seconds: float) -> None:
        """Sets how long an upstream takes for a request."""
        upstream = self._world.live_upstreams.get(node)
        if upstream is not None:
            upstream.delay = seconds
        await trio.lowlevel.checkpoint()

    async def fail_requests(self, node: str, failing: bool) -> None:
        """Sets whether an upstream responds with errors, without delay."""
        upstream = self._world.live_upstreams.get(node)
        if upstream is not None:
            upstream.failing = failing
        await trio.lowlevel.checkpoint()

    async def block(self, source: str, target: str) -> None:
        """Drops all traffic from one host to another."""
        self._world.fabric.blocked.add((source, target))
        await trio.lowlevel.checkpoint()

    async def silence(self, first: str, second: str) -> None:
        """Drops further traffic on the open connections between two hosts."""
        self._world.fabric.silence(first, second)
        await trio.lowlevel.checkpoint()

    async def cut(self, first: str, second: str) -> None:
        """Resets the open connections between two hosts."""
        self._world.fabric.reset_connections(first, second)
        await trio.lowlevel.checkpoint()

    async def set_log_available(self, available: bool) -> None:
        """Starts or ends an outage of the log."""
        self._world.log.available = available
        await trio.lowlevel.checkpoint()

    async def lose_log_responses(self, count: int) -> None:
        """Lets the next appends take effect without a response."""
        self._world.log.lost_answers += count
        await trio.lowlevel.checkpoint()

    async def publish(self, zones: frozenset[str], race: bool) -> None:
        """Publishes a configuration.

        Args:
            zones: The availability zones that it withdraws.
            race: Whether a second publication has the same base.
        """
        base = self._world.get_accepted_version()
        self._world.publish(zones, base)
        if race:
            self._world.publish(frozenset(), base)
        await trio.lowlevel.checkpoint()

    async def end_faults(self) -> None:
        """Ends all faults and starts the missing nodes and upstreams."""
        world = self._world
        world.fabric.blocked.clear()
        world.log.available = True
        world.log.lost_answers = 0
        world.publish(frozenset(), world.get_accepted_version())
        for upstream in world.live_upstreams.values():
            upstream.delay = 0.005
            upstream.failing = False
        for node in NODES:
            await world.start_node(node)
            await world.start_upstream(node)
