"""An instance and the node beside it, in virtual time without a network."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from features.support.recorded_events import RecordedEvents
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.admission.instance_admission import InstanceAdmission
from rhubarbpaddle.execution import Body, BytesBody, Request, Response
from rhubarbpaddle.execution.attached_instance import AttachedInstance
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.instance_proxy import InstanceProxy
from rhubarbpaddle.measuring.instance_monitor import InstanceMonitor
from rhubarbpaddle.measuring.instance_reading import InstanceReading
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    UpstreamState,
    UpstreamSummary,
)

SERVICE = "lanes"
_SLOTS = 6
_COLD_RATE = 5.0


class ZoneInstance:
    """Runs requests for a time that varies around its work time.

    Attributes:
        member: The entry of its node in the member tables.
        proxy: Admits requests to it.
        slowdown: The slowdown factor.
        response_bytes: The length of its responses.
        served: The zone of the gateway of each request that it has run.
        reachable: Whether its node responds to gateways of other zones.
    """

    def __init__(
        self, name: str, zone: str, work: float, rng: random.Random
    ) -> None:
        summary = UpstreamSummary(SERVICE, name, 1, UpstreamState.WARM, _SLOTS)
        self.member = Member(
            name, 1, 1, MemberStatus.ALIVE, name, zone, "", "", summary
        )
        self.slowdown = 1.0
        self.response_bytes = 1000
        self.served: list[str] = []
        self.reachable = True
        self._work = work
        self._rng = rng
        clock = VirtualClock()
        monitor = InstanceMonitor(self, clock)
        self.admission = InstanceAdmission(_SLOTS, _COLD_RATE, monitor, clock)
        self.proxy = InstanceProxy(
            clock,
            CrashLedger(name, clock),
            lambda: None,
            RecordedEvents(),
        )
        self.proxy.attach(
            AttachedInstance(summary, self.admission, monitor, self, self)
        )

    async def check(self) -> InstanceReading:
        await trio.sleep(0.001)
        return InstanceReading(
            self.member.node_id, 0, 0, _SLOTS, self.slowdown, None
        )

    async def is_open(self) -> bool:
        return True

    async def aclose(self) -> None:
        return

    @asynccontextmanager
    async def send(
        self, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        self.served.append(request.target)
        work = self._work * self._rng.uniform(0.5, 1.5)
        await trio.sleep(work * self.slowdown)
        yield Response(200, [], BytesBody(bytes(self.response_bytes)), None)
