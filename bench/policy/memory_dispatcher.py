"""Calls the sidecars of other nodes with a simulated network delay."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import trio

from bench.policy.host import Host
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Body, Request, Response
from rhubarbpaddle.routing.candidate import Candidate

# The one-way delay between two hosts of the same zone.
SAME_ZONE_SECONDS = 0.00005


class MemoryDispatcher:
    """Adds the network delay in each direction and calls the sidecar."""

    def __init__(
        self,
        own_host: Host,
        hosts: Mapping[str, Host],
        cross_zone_seconds: float,
    ) -> None:
        self._own_host = own_host
        self._hosts = hosts
        self._cross_zone_seconds = cross_zone_seconds

    @asynccontextmanager
    async def dispatch(
        self, request: Request, body: Body, candidate: Candidate
    ) -> AsyncIterator[Response]:
        """Sends a request and yields its response."""
        host = self._hosts[candidate.node_id]
        delay = get_network_delay(
            self._own_host, host, self._cross_zone_seconds
        )
        if not host.reachable:
            await trio.sleep(2 * delay)
            raise RefusedError(
                "peer_unreachable",
                "the host is lost",
                step="connect_peer",
                may_retry=True,
            )
        await trio.sleep(delay)
        try:
            async with host.sidecar.handle(
                request, body, candidate.instance, candidate.incarnation
            ) as response:
                result = response
        except RefusedError as exc:
            # The exchange server also attaches the report to each refusal.
            exc.report = host.sidecar.get_report()
            await trio.sleep(delay)
            raise
        # The slot is free as soon as the sidecar has sent the response.
        await trio.sleep(delay)
        yield result


def get_network_delay(
    source: Host, target: Host, cross_zone_seconds: float
) -> float:
    """Returns the one-way delay between two hosts in seconds."""
    if source is target:
        return 0.0
    return (
        cross_zone_seconds if source.zone != target.zone else SAME_ZONE_SECONDS
    )
