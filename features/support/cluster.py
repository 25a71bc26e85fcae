"""Runs several nodes in one process, connected by streams in memory."""

import contextlib
import json
import random
from collections.abc import Mapping
from typing import Any, NamedTuple

import h11
import trio

from features.support.host_network import HostNetwork
from features.support.memory_fabric import MemoryFabric, StreamHandler
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration.publication import Publication
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.log import HttpLogClient
from rhubarbpaddle.node.node import Node
from rhubarbpaddle.node.settings import NodeSettings
from standins.http_server import serve_connection
from standins.log_server import LogServer
from standins.upstream import Upstream

LOG_ADDRESS = "log:1"
_RENEWAL_INTERVAL_SECONDS = 0.4


class ReceivedResponse(NamedTuple):
    """A response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes


class Cluster:
    """Starts nodes, upstreams and the log, and sends callers' requests.

    Attributes:
        fabric: The network in memory.
        clock: The source of virtual time.
        log: The log's stand-in.
        nodes: The running nodes by name.
        upstreams: The upstreams' stand-ins by the name of their node.
        incarnations: The incarnations of the running upstreams.
    """

    def __init__(self, nursery: trio.Nursery, seed: int = 1) -> None:
        self.fabric = MemoryFabric()
        self.clock = VirtualClock()
        self.log = LogServer()
        self.nodes: dict[str, Node] = {}
        self.upstreams: dict[str, Upstream] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.incarnations: dict[str, int] = {}
        self._upstream_handlers: dict[str, StreamHandler] = {}
        self._nursery = nursery
        self._seed = seed

    async def start_log(self) -> None:
        """Starts the log's stand-in."""

        async def handle(stream: trio.abc.Stream) -> None:
            await serve_connection(stream, self.log.handle)

        network = HostNetwork(self.fabric, "log")
        await self._nursery.start(network.serve, LOG_ADDRESS, handle)

    async def start_node(
        self, name: str, availability_zone: str, **changes: Any
    ) -> Node:
        """Starts a node on a host of the same name.

        Args:
            name: The node's id and its host's name.
            availability_zone: The host's zone.
            **changes: Fields of the settings that differ from the default.
        """
        settings = NodeSettings(
            cluster="test",
            secret="secret",
            node_id=name,
            host=name,
            availability_zone=availability_zone,
            caller_address=f"{name}:1",
            peer_address=f"{name}:2",
            admin_address=f"{name}:3",
            log_address=LOG_ADDRESS,
        )._replace(**changes)
        network = HostNetwork(self.fabric, name)
        node = Node(
            settings,
            network,
            HttpLogClient(network, LOG_ADDRESS),
            self.clock,
            random.Random(f"{self._seed} {name}"),
        )
        await self._nursery.start(self._run_node, name, node)
        self.nodes[name] = node
        return node

    def stop_node(self, name: str) -> None:
        """Cancels a node's tasks, as if its process had been killed."""
        self._scopes.pop(name).cancel()
        del self.nodes[name]

    async def _run_node(
        self,
        name: str,
        node: Node,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with trio.CancelScope() as scope:
            self._scopes[name] = scope
            await node.run(task_status=task_status)

    async def start_upstream(
        self,
        name: str,
        service: str,
        slots: int = 6,
        work_seconds: float = 0.005,
        handler: StreamHandler | None = None,
    ) -> Upstream:
        """Starts an upstream beside the node of the same name.

        Args:
            name: The name of the node and of the instance.
            service: The upstream's service.
            slots: The number of requests that it can run concurrently.
            work_seconds: How long it works on a request.
            handler: Serves its connections in place of the stand-in, if given.
        """
        upstream = Upstream(service, name, slots, work_seconds)

        async def serve(stream: trio.abc.Stream) -> None:
            await serve_connection(stream, upstream.handle)

        handle = handler or serve
        await self._listen_upstream(name, handle)
        self._nursery.start_soon(self._announce, upstream, name)
        self.upstreams[name] = upstream
        return upstream

    async def _listen_upstream(self, name: str, handler: StreamHandler) -> None:
        self.incarnations[name] = int(trio.current_time() * 1_000_000) + 1
        self._upstream_handlers[name] = handler
        network = HostNetwork(self.fabric, name)
        await self._nursery.start(network.serve, f"{name}:4", handler)

    def crash_upstream(self, name: str) -> None:
        """Stops the upstream's listener and breaks its connections."""
        self.fabric.stop_listening(f"{name}:4")
        self.fabric.reset_connections(name, name)
        self.incarnations.pop(name, None)

    async def restart_upstream(self, name: str) -> None:
        """Starts the upstream again with a new incarnation."""
        await self._listen_upstream(name, self._upstream_handlers[name])

    def publish(self, document: Mapping[str, object], base: int) -> int:
        """Appends a publication to the log and returns its offset."""
        publication = Publication(
            kind="publication",
            id=f"publication-{base}",
            base=base,
            text=json.dumps(document),
            publisher="test",
        )
        stream = self.log.streams["configuration"]
        return stream.append(json.dumps(publication).encode())

    async def send(
        self,
        node: str,
        service: str,
        method: str = "GET",
        target: str = "/",
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> ReceivedResponse:
        """Sends a caller's request to a node on a connection of its own."""
        return await self.request(
            f"{node}:1",
            method,
            target,
            {"host": service, **(headers or {})},
            body,
        )

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> ReceivedResponse:
        """Sends a request to any address from the host `caller`."""
        stream = await self.fabric.connect("caller", address)
        conn = ClientConnection(stream, address)
        head = h11.Request(
            method=method,
            target=target,
            headers=[*headers.items(), ("content-length", str(len(body)))],
        )
        try:
            await conn.send_request(head, BytesBody(body))
            response, response_body = await conn.receive_response()
            content = bytearray()
            while chunk := await response_body.receive():
                content += chunk
        finally:
            await conn.aclose()
        response_headers = {k.decode(): v.decode() for k, v in response.headers}
        return ReceivedResponse(
            response.status_code, response_headers, bytes(content)
        )

    async def _announce(self, upstream: Upstream, name: str) -> None:
        while True:
            incarnation = self.incarnations.get(name)
            if incarnation is None:
                await trio.sleep(_RENEWAL_INTERVAL_SECONDS)
                continue
            document = {
                "service": upstream.service,
                "instance": upstream.instance,
                "address": f"{name}:4",
                "incarnation": incarnation,
                "state": upstream.state,
            }
            content = json.dumps(document).encode()
            with trio.move_on_after(_RENEWAL_INTERVAL_SECONDS):
                with contextlib.suppress(OSError):
                    await self.request(
                        f"{name}:3",
                        "POST",
                        "/announcements",
                        {"host": name},
                        content,
                    )
            await trio.sleep(_RENEWAL_INTERVAL_SECONDS)
