from collections.abc import Awaitable, Callable

import trio
from behave import then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.host_network import HostNetwork
from features.support.memory_fabric import MemoryFabric
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.listener import PeerListener
from rhubarbpaddle.peer.pool import MAX_IDLE_SECONDS, PeerPool
from rhubarbpaddle.peer.usage_client import PURPOSE, UsageClient
from rhubarbpaddle.peer.usage_server import UsageServer
from rhubarbpaddle.usage.owner_role import OwnerRole
from rhubarbpaddle.usage.usage_grant import UsageGrant
from rhubarbpaddle.usage.usage_query import UsageQuery

TIMEOUT_SECONDS = 1.0


class UsageNodes:
    """Owners that grant each query, and gateways that ask them."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.open_count = 0
        self._nursery = nursery
        self._fabric = MemoryFabric()
        self._clients: dict[str, UsageClient] = {}

    @property
    def opened_count(self) -> int:
        return len(self._fabric.connections)

    async def start_owner(self, name: str) -> None:
        server = UsageServer(
            lambda query: UsageGrant(OwnerRole.OWNER, query.needed),
            VirtualClock(),
        )
        listener = PeerListener(make_identity(name), {PURPOSE: server})

        async def handle(stream: trio.abc.Stream) -> None:
            self.open_count += 1
            try:
                await listener.handle(stream)
            finally:
                self.open_count -= 1

        network = HostNetwork(self._fabric, name)
        await self._nursery.start(network.serve, f"{name}:2", handle)

    def make_arguments(
        self, gateway: str
    ) -> tuple[HostNetwork, PeerConnector, VirtualClock]:
        network = HostNetwork(self._fabric, gateway)
        connector = PeerConnector(network, make_identity(gateway))
        return network, connector, VirtualClock()

    async def ask(self, gateway: str, owner: str) -> None:
        client = self._clients.get(gateway)
        if client is None:
            client = UsageClient(*self.make_arguments(gateway))
            self._clients[gateway] = client
        until = trio.current_time() + TIMEOUT_SECONDS
        query = UsageQuery("club", needed=1)
        grant = await client.ask(f"{owner}:2", query, until)
        assert grant.granted == 1, grant


def make_identity(name: str) -> PeerIdentity:
    return PeerIdentity("test", name, 1, b"secret")


def run(
    context: Context, scenario: Callable[[UsageNodes], Awaitable[None]]
) -> None:
    """Runs a scenario and records the connections at its end."""

    async def run_scenario() -> None:
        async with trio.open_nursery() as nursery:
            nodes = UsageNodes(nursery)
            await scenario(nodes)
            nursery.cancel_scope.cancel()

    trio.run(run_scenario, clock=MockClock(autojump_threshold=0))


@when("{count:d} gateways ask an owner for tokens once, one each {pause:g} s")
def step_ask_once(context: Context, count: int, pause: float) -> None:
    async def scenario(nodes: UsageNodes) -> None:
        await nodes.start_owner("owner")
        for index in range(count):
            await nodes.ask(f"g{index}", "owner")
            await trio.sleep(pause)
        context.open_count = nodes.open_count
        opened_before = nodes.opened_count
        await nodes.ask("g0", "owner")
        context.new_count = nodes.opened_count - opened_before

    run(context, scenario)


@when("{count:d} gateways ask an owner for tokens once a second for {end:d} s")
def step_ask_often(context: Context, count: int, end: int) -> None:
    async def scenario(nodes: UsageNodes) -> None:
        await nodes.start_owner("owner")
        for _ in range(end):
            for index in range(count):
                await nodes.ask(f"g{index}", "owner")
                await trio.sleep(1 / count)
        context.opened_count = nodes.opened_count

    run(context, scenario)


@when("a gateway asks {count:d} owners for tokens, one each {pause:g} s")
def step_ask_many(context: Context, count: int, pause: float) -> None:
    async def scenario(nodes: UsageNodes) -> None:
        owners = [f"owner-{index}" for index in range(count)]
        for owner in owners:
            await nodes.start_owner(owner)
            await nodes.ask("g0", owner)
            await trio.sleep(pause)
        context.open_count = nodes.open_count
        opened_before = nodes.opened_count
        reused_count = 0
        for owner in reversed(owners):
            await nodes.ask("g0", owner)
            if nodes.opened_count > opened_before:
                break
            reused_count += 1
        context.reused_count = reused_count

    run(context, scenario)


@when(
    "a gateway has {count:d} expired connections to an owner that it acquires"
    " and purges at once"
)
def step_acquire_and_purge(context: Context, count: int) -> None:
    async def scenario(nodes: UsageNodes) -> None:
        await nodes.start_owner("owner")
        context.new_count = 0
        # The order in which tasks run is random.
        for _ in range(20):
            pool = PeerPool(*nodes.make_arguments("g0"), PURPOSE)
            conns = [await pool.acquire("owner:2") for _ in range(count)]
            for conn in conns:
                await pool.release("owner:2", conn)
            await trio.sleep(2 * MAX_IDLE_SECONDS)
            opened_before = nodes.opened_count
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pool.acquire, "owner:2")
                nursery.start_soon(pool.purge, "owner:2")
            context.new_count += nodes.opened_count - opened_before

    run(context, scenario)


@then("{count:d} connections are open")
def step_check_open(context: Context, count: int) -> None:
    assert context.open_count == count, context.open_count


@then("{count:d} connections were opened")
def step_check_opened(context: Context, count: int) -> None:
    assert context.opened_count == count, context.opened_count


@then("the first gateway gets another token on a new connection")
def step_check_new(context: Context) -> None:
    assert context.new_count == 1, context.new_count


@then("it gets a new connection each time")
def step_check_new_connections(context: Context) -> None:
    assert context.new_count == 20, context.new_count


@then("the gateway reuses those to the {count:d} owners that it asked last")
def step_check_reused(context: Context, count: int) -> None:
    assert context.reused_count == count, context.reused_count
