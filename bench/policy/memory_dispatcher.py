"""The way to another node's sidecar without messages."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import trio

from bench.policy.host import Host
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Body, Request, Response
from rhubarbpaddle.routing import Candidate

# One way between two hosts of the same zone.
NEAR_SECONDS = 0.00005


class MemoryDispatcher:
    """Adds the one-way time in each direction and calls the sidecar."""

    def __init__(
        self, own: Host, hosts: Mapping[str, Host], one_way: float
    ) -> None:
        self._own = own
        self._hosts = hosts
        self._one_way = one_way

    @asynccontextmanager
    async def dispatch(
        self, request: Request, body: Body, candidate: Candidate
    ) -> AsyncIterator[Response]:
        """Sends a request and returns its answer."""
        host = self._hosts[candidate.node_id]
        trip = get_trip(self._own, host, self._one_way)
        if not host.reachable:
            await trio.sleep(2 * trip)
            raise RefusedError(
                "peer_unreachable",
                "the host is gone",
                step="connect_peer",
                may_retry=True,
            )
        await trio.sleep(trip)
        try:
            async with host.sidecar.handle(
                request, body, candidate.instance, candidate.incarnation
            ) as response:
                answer = response
        except RefusedError as exc:
            # The server of exchanges attaches the report to each refusal.
            exc.report = host.sidecar.get_report()
            await trio.sleep(trip)
            raise
        # The slot is free once the sidecar has sent the answer.
        await trio.sleep(trip)
        yield answer


def get_trip(one: Host, other: Host, one_way: float) -> float:
    """Returns the seconds of one way between two hosts."""
    if one is other:
        return 0.0
    return one_way if one.zone != other.zone else NEAR_SECONDS
