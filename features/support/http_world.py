"""Two nodes for the HTTP features: `a1` without and `b1` with an upstream."""

from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import trio
from trio.testing import MockClock

from bench.admission.fixed_slots import FixedSlots
from features.support.cluster import Cluster
from features.support.raw_caller import RawCaller, RawResponse
from features.support.scripted_upstream import ScriptedUpstream

ResultT = TypeVar("ResultT")

_SETTLE_SECONDS = 3.0


class HttpWorld:
    """Gives a scenario access to the two nodes and the upstream of `b1`."""

    def __init__(self, cluster: Cluster, nursery: trio.Nursery) -> None:
        self.cluster = cluster
        self.nursery = nursery
        self.upstream = ScriptedUpstream()

    async def connect(self, node: str = "b1") -> RawCaller:
        return await RawCaller.connect(self.cluster.fabric, node)

    async def request(
        self, request: bytes, node: str = "b1", half_close: bool = False
    ) -> RawResponse | None:
        """Sends a request on a new connection and returns the response.

        Args:
            request: The raw bytes of the request.
            node: The node that receives it.
            half_close: Whether to close the sending side afterwards.
        """
        caller = await self.connect(node)
        await caller.send(request)
        if half_close:
            await caller.stream.send_eof()
        return await caller.receive()


def run_http_world(
    scenario: Callable[[HttpWorld], Awaitable[ResultT]],
    service: Mapping[str, object] | None = None,
    slots: int = 6,
    *,
    in_real_time: bool = False,
) -> ResultT:
    """Runs a scenario against the two nodes, mostly in virtual time.

    Args:
        scenario: Called once both nodes serve requests.
        service: The settings of the service `lanes`; defaults if None.
        slots: The number of slots of the upstream.
        in_real_time: Whether the scenario uses real connections.
    """

    async def run() -> ResultT:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            world = HttpWorld(cluster, nursery)
            await cluster.start_log()
            document = {
                "services": {"lanes": service or {}},
                "availability_zones": {"a": {}, "b": {}},
                "tenants": {"club": {}},
            }
            cluster.publish(document, base=0)
            await cluster.start_node("a1", "a")
            await cluster.start_node("b1", "b")
            await cluster.start_upstream(
                "b1", "lanes", handler=world.upstream.handle
            )
            await trio.sleep(_SETTLE_SECONDS)
            # A fixed limit replaces the cold start and the adaptive limit,
            # which have their own features.
            sidecar = cluster.nodes["b1"].sidecar
            assert sidecar.upstream is not None
            sidecar.upstream = sidecar.upstream._replace(
                admission=FixedSlots(slots, cluster.clock)
            )
            result = await scenario(world)
            nursery.cancel_scope.cancel()
        return result

    clock = None if in_real_time else MockClock(autojump_threshold=0)
    return trio.run(run, clock=clock)


def make_request(
    method: str, target: str, body: bytes = b"", **headers: str
) -> bytes:
    """Returns the bytes of a request; `_` in a header name stands for `-`."""
    lines = [f"{method} {target} HTTP/1.1", "Host: lanes"]
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
