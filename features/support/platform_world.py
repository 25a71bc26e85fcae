"""Nodes on the platform and stand-ins, connected by memory streams."""

import json
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import h11
import trio
from trio import TaskStatus
from trio.testing import MockClock

from features.support.host_network import HostNetwork
from features.support.memory_fabric import MemoryFabric
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.membership import UpstreamSummary
from rhubarbpaddle.peer.messages import Call
from rhubarbpaddle.platform.node import PlatformNode
from rhubarbpaddle.platform.settings import PlatformSettings
from standins.platform_documents import (
    make_configuration_document,
    make_route_entry,
    make_settings_document,
)
from standins.platform_instance import PlatformInstance
from standins.platform_store import PlatformStore

ResultT = TypeVar("ResultT")

STORE_ADDRESS = "store:1"
SERVICE = "lanes"
# Nodes find each other and read the configuration within this time.
SETTLE_SECONDS = 3.0


def make_settings(name: str, zone: str = "a") -> dict[str, Any]:
    """Returns the content of the settings file of a host."""
    addresses = {
        "instance": f"{name}:9",
        "store": STORE_ADDRESS,
        "inbound": f"{name}:1",
        "outbound": f"{name}:2",
        "readiness": f"{name}:3",
        "control": f"{name}:4",
    }
    return make_settings_document(name, zone, SERVICE, addresses, 1500)


def make_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration with one route and one service."""
    kind = changes.pop("kind", "idempotent")
    route = make_route_entry(
        "r", "club.example", "/lanes/", kind, SERVICE, **changes
    )
    return make_configuration_document(version, [route], SERVICE, 5.0, 3.0)


def make_report(instance: str, **changes: Any) -> dict[str, Any]:
    """Returns a status report."""
    return {
        "service": SERVICE,
        "address": "-",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 1,
        "born": 1_000,
        **changes,
    }


def make_call(request_id: str, summary: UpstreamSummary, service: str) -> Call:
    """Returns a call, as a gateway sends it."""
    return Call(
        request_id=request_id,
        organisation="",
        service=service,
        instance=summary.instance,
        incarnation=summary.incarnation,
        method="GET",
        target="/lanes/x",
        headers=[(b"host", b"club.example"), (b"request-id", b"one")],
        remaining_ms=1000,
        idempotent=True,
        key="",
        attempt=1,
        depth=0,
        may_queue=True,
        claim="",
        fingerprint="",
        configuration_version=1,
        body=b"",
        body_length=0,
    )


class PlatformResponse:
    """The response that a caller received."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class PlatformWorld:
    """Starts nodes and instances and sends the requests of callers.

    Attributes:
        link_mbps: The rate of the links of hosts that are started from now on;
            None if their settings have none. The fabric itself has no limit.
        nursery: Runs the tasks of the scenario.
        bounds: Bounds in the settings of the nodes that start from now on, in
            addition to the usual ones.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.fabric = MemoryFabric()
        self.clock = VirtualClock()
        self.store = PlatformStore()
        self.link_mbps: float | None = None
        self.nodes: dict[str, PlatformNode] = {}
        self.instances: dict[str, PlatformInstance] = {}
        self.bounds: dict[str, Any] = {}
        self.nursery = nursery
        self._node_scopes: dict[str, trio.CancelScope] = {}

    async def start_store(self, configuration: dict[str, Any] | None) -> None:
        """Starts the store, with a configuration if there is one."""
        if configuration is not None:
            self.put_configuration(configuration)
        network = HostNetwork(self.fabric, "store")
        await self.nursery.start(
            network.serve, STORE_ADDRESS, self.store.handle
        )

    def put_configuration(self, configuration: dict[str, Any]) -> None:
        """Writes a configuration to the store, as operators do."""
        value = json.dumps(configuration).encode()
        self.store.put("keyed.op", "config", value)

    async def start_host(self, name: str, zone: str = "a") -> PlatformInstance:
        """Starts a node and the instance on its host."""
        await self.start_node(name, zone)
        instance = PlatformInstance(f"i-{name}")
        self.instances[name] = instance
        network = HostNetwork(self.fabric, name)
        await self.nursery.start(network.serve, f"{name}:9", instance.handle)
        return instance

    async def start_serving(self, *names: str) -> None:
        """Starts hosts, and waits until their instances have reported."""
        for name in names:
            await self.start_host(name)
        await trio.sleep(SETTLE_SECONDS)
        for name in names:
            assert await self.report(name, seq=5) == 200
        await trio.sleep(1)

    async def start_node(
        self, name: str, zone: str = "a", is_first_start: bool = True
    ) -> None:
        """Starts a node on a host on which none runs."""
        document = make_settings(name, zone)
        document["local"]["bootstrap"] = is_first_start
        document["terms"]["bounds"] |= self.bounds
        if self.link_mbps is not None:
            document["local"]["limits"] = {"linkMbps": self.link_mbps}
        settings = PlatformSettings.from_document(document)
        network = HostNetwork(self.fabric, name)
        node = PlatformNode(
            Path("/nonexistent"),
            settings,
            network,
            self.clock,
            random.Random(name),
        )
        scope = self._node_scopes[name] = trio.CancelScope()
        await self.nursery.start(_run_within, scope, node.run)
        self.nodes[name] = node

    async def stop_node(self, name: str) -> None:
        """Ends a node's process at once and resets its connections."""
        self._node_scopes.pop(name).cancel()
        for other in (*self.nodes, "store"):
            self.fabric.reset_connections(name, other)
        await trio.sleep(0.01)
        del self.nodes[name]

    async def report(self, name: str, **changes: Any) -> int:
        """Sends a status report of a host's instance.

        Returns:
            The HTTP status of the response.
        """
        return await self.report_as(
            name, self.instances[name].instance, **changes
        )

    async def report_as(self, name: str, instance: str, **changes: Any) -> int:
        """Sends a status report of an instance to a host's node."""
        body = json.dumps(make_report(instance, **changes)).encode()
        target = f"/instances/{instance}/heartbeat"
        response = await self.send(f"{name}:4", "POST", target, {}, body)
        return response.status

    async def send_request(
        self,
        name: str,
        request_id: str,
        target: str = "/lanes/x",
        method: str = "GET",
        deadline_ms: int = 1000,
        body: bytes = b"",
        chunked: bool = False,
    ) -> PlatformResponse:
        """Sends a caller's request to a node."""
        headers = {
            "host": "club.example",
            "request-id": request_id,
            "deadline-ms": str(deadline_ms),
        }
        return await self.send(
            f"{name}:2", method, target, headers, body, chunked
        )

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        chunked: bool = False,
    ) -> PlatformResponse:
        """Sends one request on a new connection."""
        network = HostNetwork(self.fabric, address.partition(":")[0])
        conn = ClientConnection(await network.connect(address), address)
        length = {"content-length": str(len(body))} if body else {}
        if chunked:
            length = {"transfer-encoding": "chunked"}
        head = h11.Request(
            method=method,
            target=target,
            headers=[*({"host": "-"} | headers | length).items()],
        )
        try:
            await conn.send_request(head, BytesBody(body))
            response, content = await conn.receive_response()
            received = b""
            while chunk := await content.receive():
                received += chunk
            decoded_headers = {
                key.decode(): value.decode() for key, value in response.headers
            }
            return PlatformResponse(
                response.status_code, decoded_headers, received
            )
        finally:
            await conn.aclose()


async def _run_within(
    scope: trio.CancelScope,
    run: Callable[..., Awaitable[None]],
    *,
    task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    with scope:
        await run(task_status=task_status)


def run_platform_world(
    scenario: Callable[[PlatformWorld], Awaitable[ResultT]],
    *,
    in_real_time: bool = False,
) -> ResultT:
    """Runs a scenario, mostly in virtual time, and returns its result."""

    async def run() -> ResultT:
        async with trio.open_nursery() as nursery:
            result = await scenario(PlatformWorld(nursery))
            nursery.cancel_scope.cancel()
        return result

    clock = None if in_real_time else MockClock(autojump_threshold=0)
    return trio.run(run, clock=clock)
