"""The processes of a run: a log, six nodes and their upstreams."""

import contextlib
import json
import random
import uuid
from collections.abc import Mapping

import h11
import trio

from features.promises.published_configuration import PublishedConfiguration
from features.promises.recording_upstream import RecordingUpstream, Run
from features.promises.sent_request import SentRequest
from features.support.host_network import HostNetwork
from features.support.memory_fabric import MemoryFabric
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration.publication import Publication
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.log import HttpLogClient
from rhubarbpaddle.node.node import Node
from rhubarbpaddle.node.settings import NodeSettings
from standins.http_server import serve_connection
from standins.log_server import LogServer

ZONES = ("costa-a", "costa-b", "costa-c")
SERVICES = ("lanes", "reservas")
NODES = tuple(f"{service}-{zone}" for service in SERVICES for zone in ZONES)
SLOTS = 3
_LOG_ADDRESS = "log:1"
_RENEWAL_INTERVAL_SECONDS = 0.4
_RESPONSE_TIMEOUT_SECONDS = 20.0


class World:
    """Runs all processes in memory and records what the oracle checks.

    Each of the six nodes runs in one of three availability zones.

    Attributes:
        fabric: The network in memory.
        log: The log's stand-in.
        runs: Each execution of a request by an upstream.
        sent: The callers' requests with the responses to them.
        publications: All publications in log order.
        observed_versions: The configuration versions of the nodes, sampled
            regularly. Each sample has the node's name, the id of its object
            and the version.
        upstreams: All upstreams that were started.
        nodes: The running nodes by name.
        live_upstreams: The running upstreams by the name of their node.
    """

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.fabric = MemoryFabric()
        self.log = LogServer()
        self.runs: list[Run] = []
        self.sent: list[SentRequest] = []
        self.publications: list[PublishedConfiguration] = []
        self.observed_versions: list[tuple[str, int, int]] = []
        self.upstreams: list[RecordingUpstream] = []
        self.nodes: dict[str, Node] = {}
        self.live_upstreams: dict[str, RecordingUpstream] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery = nursery
        self._seed = seed
        self._clock = VirtualClock()
        self._start_count = 0
        self._key_count = 0

    async def start(self) -> None:
        """Starts the log, all nodes and all upstreams."""
        network = HostNetwork(self.fabric, "log")

        async def handle(stream: trio.abc.Stream) -> None:
            await serve_connection(stream, self.log.handle)

        await self._nursery.start(network.serve, _LOG_ADDRESS, handle)
        self.publish(frozenset(), 0)
        for name in NODES:
            await self.start_node(name)
            await self.start_upstream(name)
        self._nursery.start_soon(self._record_versions)

    async def start_node(self, name: str) -> None:
        """Starts a node without state, unless it is running."""
        if name in self.nodes:
            return
        self._start_count += 1
        settings = NodeSettings(
            cluster="test",
            secret="a-secret-of-the-test-cluster",
            node_id=name,
            host=name,
            availability_zone=_get_zone(name),
            caller_address=f"{name}:1",
            peer_address=f"{name}:2",
            admin_address=f"{name}:3",
            log_address=_LOG_ADDRESS,
            seeds=tuple(f"{other}:2" for other in NODES[:2]),
        )
        network = HostNetwork(self.fabric, name)
        node = Node(
            settings,
            network,
            HttpLogClient(network, _LOG_ADDRESS),
            self._clock,
            random.Random(f"{self._seed} {self._start_count}"),
        )
        scope = self._scopes[name] = trio.CancelScope()
        started = trio.Event()

        async def run() -> None:
            with scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(node.run)
                    started.set()

        self._nursery.start_soon(run)
        await started.wait()
        self.nodes[name] = node

    def kill_node(self, name: str) -> None:
        """Cancels a node's tasks, as if its process had been killed."""
        if self.nodes.pop(name, None) is not None:
            self._scopes.pop(name).cancel()

    async def start_upstream(self, name: str) -> None:
        """Starts a new upstream beside a node that has none."""
        if name in self.live_upstreams:
            return
        service = name.partition("-")[0]
        upstream = RecordingUpstream(
            name, service, _get_zone(name), SLOTS, self.runs
        )
        self.upstreams.append(upstream)
        self.live_upstreams[name] = upstream
        started = trio.Event()
        self._nursery.start_soon(self._run_upstream, name, upstream, started)
        await started.wait()

    def kill_upstream(self, name: str) -> None:
        """Stops an upstream without an announcement."""
        upstream = self.live_upstreams.pop(name, None)
        if upstream is not None:
            upstream.crashed.set()

    def get_accepted_version(self) -> int:
        """Returns the version that all nodes must accept.

        Of several publications with the same base, the first in the log is
        accepted.
        """
        version = 0
        for publication in self.publications:
            if publication.base == version:
                version += 1
        return version

    def make_key(self) -> str:
        """Returns a new UUIDv7 that is dated now."""
        milliseconds = int(self._clock.now().timestamp() * 1000)
        self._key_count += 1
        value = milliseconds << 80 | 0x7 << 76 | 0x2 << 62 | self._key_count
        return str(uuid.UUID(int=value))

    def publish(self, out_of_service: frozenset[str], base: int) -> None:
        """Appends a publication to the log, as the `publish` command does.

        Args:
            out_of_service: The availability zones that it withdraws.
            base: The configuration version that it replaces.
        """
        document = {
            "services": {
                name: {"slots": SLOTS, "timeout_ms": 2000} for name in SERVICES
            },
            "availability_zones": {
                zone: {"in_service": zone not in out_of_service}
                for zone in ZONES
            },
        }
        publication = Publication(
            kind="publication",
            id=f"{base}-{len(self.publications)}",
            base=base,
            text=json.dumps(document),
            publisher="test",
        )
        self.publications.append(
            PublishedConfiguration(trio.current_time(), base, out_of_service)
        )
        stream = self.log.streams["configuration"]
        stream.append(json.dumps(publication).encode())

    def send(self, node: str, request: SentRequest) -> None:
        """Starts a task that sends a request to a node."""
        self.sent.append(request)
        self._nursery.start_soon(self._send, node, request)

    async def _send(self, node: str, request: SentRequest) -> None:
        headers = {"host": request.service}
        if request.key:
            headers["idempotency-key"] = request.key
        with (
            trio.move_on_after(_RESPONSE_TIMEOUT_SECONDS),
            contextlib.suppress(OSError, RhubarbpaddleError),
        ):
            stream = await self.fabric.connect("caller", f"{node}:1")
            conn = ClientConnection(stream, node)
            try:
                await self._exchange(conn, request, headers)
            finally:
                await conn.aclose()

    async def _exchange(
        self,
        conn: ClientConnection,
        request: SentRequest,
        headers: Mapping[str, str],
    ) -> None:
        content = b"" if request.method == "GET" else b"booking"
        head = h11.Request(
            method=request.method,
            target=f"/{request.marker}",
            headers=[*headers.items(), ("content-length", str(len(content)))],
        )
        await conn.send_request(head, BytesBody(content))
        response, body = await conn.receive_response()
        received = bytearray()
        while part := await body.receive():
            received += part
        response_headers = {k.decode(): v.decode() for k, v in response.headers}
        request.status = response.status_code
        request.outcome = response_headers.get("rhubarbpaddle-outcome", "")
        request.body = bytes(received)

    async def _run_upstream(
        self, name: str, upstream: RecordingUpstream, started: trio.Event
    ) -> None:
        async def handle(stream: trio.abc.Stream) -> None:
            await serve_connection(stream, upstream.handle)

        network = HostNetwork(self.fabric, f"upstream-{name}")
        async with trio.open_nursery() as nursery:
            await nursery.start(network.serve, f"{name}:4", handle)
            nursery.start_soon(self._announce, name, upstream)
            started.set()
            await upstream.crashed.wait()
            nursery.cancel_scope.cancel()
        if self.live_upstreams.get(name) is upstream:
            del self.live_upstreams[name]

    async def _announce(self, name: str, upstream: RecordingUpstream) -> None:
        incarnation = len(self.upstreams)
        while True:
            document = {
                "service": upstream.service,
                "instance": name,
                "address": f"{name}:4",
                "incarnation": incarnation,
                "state": upstream.state,
            }
            content = json.dumps(document).encode()
            with (
                trio.move_on_after(_RENEWAL_INTERVAL_SECONDS),
                contextlib.suppress(OSError, RhubarbpaddleError),
            ):
                stream = await self.fabric.connect(
                    f"upstream-{name}", f"{name}:3"
                )
                conn = ClientConnection(stream, name)
                head = h11.Request(
                    method="POST",
                    target="/announcements",
                    headers=[
                        ("host", name),
                        ("content-length", str(len(content))),
                    ],
                )
                try:
                    await conn.send_request(head, BytesBody(content))
                    await conn.receive_response()
                finally:
                    await conn.aclose()
            await trio.sleep(_RENEWAL_INTERVAL_SECONDS)

    async def _record_versions(self) -> None:
        while True:
            for name, node in self.nodes.items():
                version = node.configuration.get_version()
                self.observed_versions.append((name, id(node), version))
            await trio.sleep(0.1)


def _get_zone(name: str) -> str:
    return name.partition("-")[2]
