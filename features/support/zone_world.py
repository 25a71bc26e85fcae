"""Gateways and instances in several zones, in virtual time."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import NamedTuple

import trio
from trio.testing import MockClock

from features.support.recorded_events import RecordedEvents
from features.support.virtual_clock import VirtualClock
from features.support.zone_instance import SERVICE, ZoneInstance
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Body, BytesBody, Request, Response
from rhubarbpaddle.execution.instance_chooser import InstanceChooser
from rhubarbpaddle.execution.retry_terms import RetryTerms
from rhubarbpaddle.execution.route_gateway import RouteGateway
from rhubarbpaddle.execution.shared_retry_budget import SharedRetryBudget
from rhubarbpaddle.execution.zone_choice_record import ZoneChoiceRecord
from rhubarbpaddle.membership import Member, MemberStatus, MemberTable
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_router import InstanceRouter
from rhubarbpaddle.routing.zone_spillover import ZoneSpillover

WORK_SECONDS = 0.12
LATENCY_TARGET = 0.5
DEADLINE = 2.0
GATEWAYS_PER_ZONE = 20
INSTANCES_PER_ZONE = 3
# What an instance of 6 slots can serve per second.
INSTANCE_RATE = 6 / WORK_SECONDS
_SAME_ZONE_SECONDS = 0.0003
_OTHER_ZONE_SECONDS = 0.002
_CONFIRMATION_SECONDS = 0.25


class Answer(NamedTuple):
    """How a request ended.

    Attributes:
        sent_at: When it was sent.
        zone: The zone of its gateway.
        seconds: Its latency.
        status: The status of its response or refusal.
        served_by: The instance that served it, or the empty string. Its first
            letter is that of its zone.
    """

    sent_at: float
    zone: str
    seconds: float
    status: int
    served_by: str


class ZoneGateway:
    """A gateway of one zone, which reaches instances after a delay."""

    def __init__(self, world: "ZoneWorld", name: str, zone: str) -> None:
        self.zone = zone
        self.attempts = 0
        self.lost = 0
        self._world = world
        own = Member(
            name, 1, 1, MemberStatus.ALIVE, name, zone, "", "", upstream=None
        )
        self.table = MemberTable(own)
        for instance in world.instances.values():
            self.table.merge(instance.member)
        self.router = router = InstanceRouter(
            self.table,
            VirtualClock(),
            random.Random(name),
            lambda zone: zone not in world.withdrawn,
        )
        rng = random.Random(name)
        clock = VirtualClock()
        self.spillover = ZoneSpillover(router, clock, rng)
        self.events = RecordedEvents()
        self.chooser = InstanceChooser(
            router,
            self.spillover,
            ZoneChoiceRecord(clock, self.events),
            clock,
        )
        terms = RetryTerms(0.2, 60, timedelta(seconds=10))
        self.gateway = RouteGateway(
            router,
            self.chooser,
            self,
            SharedRetryBudget(terms, clock, lambda: len(world.gateways)),
            clock,
            self.events,
        )

    @asynccontextmanager
    async def dispatch(
        self, request: Request, body: Body, candidate: Candidate
    ) -> AsyncIterator[Response]:
        self.attempts += 1
        instance = self._world.instances[candidate.node_id]
        is_local = candidate.availability_zone == self.zone
        delay = _SAME_ZONE_SECONDS if is_local else _OTHER_ZONE_SECONDS
        await trio.sleep(delay)
        if not is_local and not instance.reachable:
            self.lost += 1
            await trio.sleep(_CONFIRMATION_SECONDS)
            raise RefusedError(
                "peer_lost",
                "no confirmation",
                step="exchange",
                status=502,
                outcome=Outcome.UNKNOWN,
                may_retry=True,
            )
        try:
            async with instance.proxy.handle(
                request._replace(target=self.zone),
                body,
                candidate.instance,
                candidate.incarnation,
            ) as response:
                result = response._replace(
                    headers=[(b"node", candidate.node_id.encode())]
                )
        except RefusedError as exc:
            exc.report = instance.proxy.get_report()
            await trio.sleep(delay)
            raise
        await trio.sleep(delay)
        yield result

    async def send(self, large: bool, deadline: float) -> None:
        """Sends a request and records how it ended."""
        started = trio.current_time()
        request = Request(
            "r",
            "",
            SERVICE,
            "GET",
            "/",
            [],
            started + deadline,
            True,
            route="large" if large else "short",
            useful_until=started + min(LATENCY_TARGET, deadline),
            max_attempts=3,
            large_response=large,
        )
        served_by, status = "", 503
        try:
            async with self.gateway.handle(request, BytesBody(b"")) as response:
                status = response.status
                served_by = response.headers[0][1].decode()
        except RefusedError as exc:
            status = exc.status
        seconds = trio.current_time() - started
        self._world.answers.append(
            Answer(started, self.zone, seconds, status, served_by)
        )


class ZoneWorld:
    """Sends the requests of callers to the gateways of their zone."""

    def __init__(self, nursery: trio.Nursery, zones: str, seed: int) -> None:
        self.withdrawn: set[str] = set()
        self.started_at = trio.current_time()
        self.answers: list[Answer] = []
        self.rng = random.Random(seed)
        self.nursery = nursery
        self.instances = {
            f"{zone}{number}": ZoneInstance(
                f"{zone}{number}", zone, WORK_SECONDS, self.rng
            )
            for zone in zones
            for number in range(INSTANCES_PER_ZONE)
        }
        self.gateways: list[ZoneGateway] = []
        self.gateways += (
            ZoneGateway(self, f"{zone}-{number}", zone)
            for zone in zones
            for number in range(GATEWAYS_PER_ZONE)
        )

    async def send_load(
        self,
        zone: str,
        load: float,
        seconds: float,
        large: bool = False,
        deadline: float = DEADLINE,
    ) -> None:
        """Sends requests to the gateways of a zone.

        Args:
            zone: The zone.
            load: The requests as a multiple of what its instances can serve.
            seconds: For how long.
            large: Whether their responses are large.
            deadline: Seconds to their deadline.
        """
        rate = load * INSTANCE_RATE * INSTANCES_PER_ZONE
        gateways = [g for g in self.gateways if g.zone == zone]
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            gateway = self.rng.choice(gateways)
            self.nursery.start_soon(gateway.send, large, deadline)
            await trio.sleep(self.rng.expovariate(rate))

    async def slow_down(self) -> None:
        """Makes one instance at a time five times slower, 25 % of the time."""
        while True:
            instance = self.rng.choice([*self.instances.values()])
            instance.slowdown = 5.0
            await trio.sleep(self.rng.uniform(0.1, 0.5))
            instance.slowdown = 1.0
            await trio.sleep(self.rng.uniform(0.3, 1.5))


def run_zone_world(
    scenario: Callable[[ZoneWorld], Awaitable[None]],
    zones: str = "abcd",
    seed: int = 1,
) -> ZoneWorld:
    """Runs a scenario in virtual time and returns the world."""

    async def run() -> ZoneWorld:
        async with trio.open_nursery() as nursery:
            world = ZoneWorld(nursery, zones, seed)
            await scenario(world)
            nursery.cancel_scope.cancel()
        return world

    return trio.run(run, clock=MockClock(autojump_threshold=0))
