"""Steps of drills, in which the store comes back from an older copy."""

import json
import zlib
from collections.abc import Iterable

import trio
from behave import given, then, when
from behave.runner import Context
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from features.support.deferred_steps import deferred
from features.support.host_network import HostNetwork
from features.support.platform_world import (
    SERVICE,
    SETTLE_SECONDS,
    PlatformWorld,
    make_configuration,
)
from features.support.store_eras_machine import SteppedClock, StoreErasMachine
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.messages import (
    ConfigurationRequest,
    ConfigurationUpdate,
    Heartbeat,
)
from rhubarbpaddle.platform.keyed_record import KeyedRecord
from rhubarbpaddle.platform.log_records import LogRecords
from rhubarbpaddle.platform.newest_records import NewestRecords
from rhubarbpaddle.platform.node import PlatformNode
from rhubarbpaddle.platform.state_in_force import StateInForce

_CHECK_SECONDS = 0.05
_AWAY_SECONDS = 1.0
_ZONE = "z1"
_MACHINE_SETTINGS = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)


def _get_version(node: PlatformNode) -> int:
    cfg = node.configuration.get_configuration()
    return 0 if cfg is None else cfg.version


def _list_zones(node: PlatformNode) -> frozenset[str]:
    cfg = node.configuration.get_configuration()
    return frozenset() if cfg is None else cfg.withdrawn_zones


def _write(context: Context, version: int) -> None:
    context.newest = version
    context.written_at = trio.current_time()
    context.world.put_configuration(
        make_configuration(version, pathPrefix=f"/v{version}/")
    )


async def _watch_versions(context: Context) -> None:
    """Records nodes whose configuration becomes an older one."""
    newest: dict[PlatformNode, int] = {}
    context.went_back = []
    while True:
        for name, node in tuple(context.world.nodes.items()):
            version = _get_version(node)
            if version < newest.get(node, 0):
                context.went_back.append((name, newest[node], version))
            newest[node] = max(version, newest.get(node, 0))
        await trio.sleep(_CHECK_SECONDS)


async def _go_away(world: PlatformWorld) -> None:
    """Makes the store refuse and reset connections for a moment."""
    for name in world.nodes:
        world.fabric.refused.add((name, "store"))
        world.fabric.reset_connections(name, "store")
    await trio.sleep(_AWAY_SECONDS)
    world.fabric.refused.clear()


@when(
    "the store comes back from a copy without the last {count:d} configurations"
)
@deferred
async def step_drill(context: Context, count: int) -> None:
    context.nursery.start_soon(_watch_versions, context)
    context.copy = context.world.store.copy()
    context.newest = 1
    for version in range(2, count + 2):
        _write(context, version)
        await trio.sleep(0.5)
    await _go_away(context.world)
    context.world.store.restore(context.copy)


@when("the store comes back from an empty copy")
@deferred
async def step_empty_copy(context: Context) -> None:
    context.nursery.start_soon(_watch_versions, context)
    _write(context, 2)
    await trio.sleep(0.5)
    await _go_away(context.world)
    context.world.store.restore({})


@when("{seconds:g} s later the store comes back from the same copy")
@deferred
async def step_second_drill(context: Context, seconds: float) -> None:
    await trio.sleep(seconds)
    await _go_away(context.world)
    context.world.store.restore(context.copy)


@when("{seconds:g} s later the operator writes {what} again")
@deferred
async def step_write_again(context: Context, seconds: float, what: str) -> None:
    await trio.sleep(seconds)
    newest = context.newest
    versions: Iterable[int] = {
        "the newest one": (newest,),
        "the newest one with a higher version": (newest + 1,),
        "all of them": range(2, newest + 1),
        "all of them and another one": range(2, newest + 2),
        "none of them": (),
    }[what]
    for version in versions:
        _write(context, version)


@when("{seconds:g} s later the operator writes a further configuration")
@deferred
async def step_write_further(context: Context, seconds: float) -> None:
    await trio.sleep(seconds)
    _write(context, context.newest + 1)


@when("the log has grown beyond what the nodes have read when they reach it")
@deferred
async def step_grow(context: Context) -> None:
    world: PlatformWorld = context.world
    end = max(node.configuration.get_version() for node in world.nodes.values())
    _write(context, context.newest)
    _write(context, context.newest + 1)
    for value in (b"{}", b"", b"{}", b""):
        world.store.put("keyed.op", f"evacuate/{_ZONE}", value)
    assert len(world.store.copy()["keyed.op"]) > end


@when('zone "{zone}" is withdrawn, and the store loses that in a drill')
@deferred
async def step_lose_withdrawal(context: Context, zone: str) -> None:
    world: PlatformWorld = context.world
    context.nursery.start_soon(_watch_versions, context)
    copy = world.store.copy()
    _write(context, 2)
    world.store.put("keyed.op", f"evacuate/{zone}", b"{}")
    await trio.sleep(1)
    await _go_away(world)
    world.store.restore(copy)


@when('the operator withdraws zone "{zone}" again, and restores it 20 s later')
@deferred
async def step_withdraw_again(context: Context, zone: str) -> None:
    world: PlatformWorld = context.world
    world.store.put("keyed.op", f"evacuate/{zone}", b"{}")
    for _ in range(20):
        await trio.sleep(1)
        assert all(_list_zones(node) == {zone} for node in world.nodes.values())
    world.store.put("keyed.op", f"evacuate/{zone}", b"")
    context.written_at = trio.current_time()


@when("all readers but 1 are started again")
@deferred
async def step_restart_readers(context: Context) -> None:
    world: PlatformWorld = context.world
    readers = [
        name
        for name, node in world.nodes.items()
        if node.configuration.is_reader()
    ]
    await _restart(context, readers[1:])


@when("3 nodes are started again")
@deferred
async def step_restart_nodes(context: Context) -> None:
    await _restart(context, list(context.world.nodes)[::2])


async def _restart(context: Context, names: list[str]) -> None:
    world: PlatformWorld = context.world
    zones = {
        name: world.nodes[name].settings.availability_zone for name in names
    }
    for name in names:
        await world.stop_node(name)
    for name in names:
        await world.start_node(name, zones[name], is_first_start=False)
    # Nodes join their neighbours meanwhile.
    await trio.sleep(1)


@then("all nodes have the newest configuration within {seconds:g} s")
@deferred
async def step_check_newest(context: Context, seconds: float) -> None:
    world: PlatformWorld = context.world
    deadline = max(context.written_at, trio.current_time()) + seconds
    while any(
        _get_version(node) != context.newest for node in world.nodes.values()
    ):
        await trio.sleep(_CHECK_SECONDS)
        versions = [_get_version(node) for node in world.nodes.values()]
        assert trio.current_time() < deadline, (context.newest, versions)


@then("no node has gone back to an older configuration")
@then("no node that runs on has gone back to an older configuration")
@deferred
async def step_check_watch(context: Context) -> None:
    assert not context.went_back, context.went_back


@then('zone "{zone}" is withdrawn at all nodes during the next {seconds:d} s')
@deferred
async def step_check_withdrawn(
    context: Context, zone: str, seconds: int
) -> None:
    world: PlatformWorld = context.world
    for _ in range(round(seconds / _CHECK_SECONDS)):
        zones = {name: _list_zones(node) for name, node in world.nodes.items()}
        assert all(value == {zone} for value in zones.values()), zones
        await trio.sleep(_CHECK_SECONDS)


@then("no zone is withdrawn at any node")
@then("no zone is withdrawn at any node within {seconds:d} s")
@deferred
async def step_check_restored(context: Context, seconds: int = 0) -> None:
    world: PlatformWorld = context.world
    deadline = trio.current_time() + seconds
    while any(map(_list_zones, world.nodes.values())):
        assert trio.current_time() < deadline
        await trio.sleep(_CHECK_SECONDS)


@then("the metric of each node says era {era:d}")
@deferred
async def step_check_metric(context: Context, era: int) -> None:
    world: PlatformWorld = context.world
    for name in world.nodes:
        response = await world.send(f"{name}:3", "GET", "/metrics", {})
        lines = response.body.decode().splitlines()
        values = [line for line in lines if "_store_era{" in line]
        assert values and values[0].endswith(f" {era}.0"), values


@when("an instance departs, and the store loses all that nodes had stored")
@deferred
async def step_lose_entries(context: Context) -> None:
    world: PlatformWorld = context.world
    assert await world.report("h3", state="draining", seq=9) == 200
    copy = dict(world.store.copy())
    context.stored = {record.key for record in copy["keyed.nodes"]}
    assert "departed/h3" in context.stored
    del copy["keyed.nodes"]
    await _go_away(world)
    world.store.restore(copy)
    context.calls_before = world.store.count_calls()


@then("it is stored again within {seconds:d} s")
@deferred
async def step_check_stored(context: Context, seconds: int) -> None:
    await trio.sleep(seconds)
    store = context.world.store
    stored = {record.key for record in store.copy()["keyed.nodes"]}
    assert stored == context.stored, context.stored - stored


@then("the drill has cost at most {count:d} calls")
@deferred
async def step_check_calls(context: Context, count: int) -> None:
    calls = context.world.store.count_calls() - context.calls_before
    assert calls <= count, calls


@given("a node that has followed the store through a drill")
@deferred
async def step_followed(context: Context) -> None:
    world = context.world = PlatformWorld(context.nursery)
    await world.start_store(make_configuration(1))
    await world.start_host("h0")
    await trio.sleep(SETTLE_SECONDS)
    copy = world.store.copy()
    _write(context, 2)
    await trio.sleep(1)
    await _go_away(world)
    world.store.restore(copy)
    _write(context, 3)
    await trio.sleep(3)
    assert _get_version(world.nodes["h0"]) == 3


@when("a neighbour without eras announces a higher offset")
@deferred
async def step_announce_without_era(context: Context) -> None:
    world: PlatformWorld = context.world
    identity = PeerIdentity("platform", "old", 1, b"-")
    connector = PeerConnector(HostNetwork(world.fabric, "old"), identity)
    conn = await connector.connect("h0:1", "control")
    text = json.dumps(
        {
            "configuration": json.dumps(make_configuration(2)),
            "withdrawn": [_ZONE],
        }
    )

    async def answer_requests() -> None:
        while True:
            if isinstance(await conn.receive(), ConfigurationRequest):
                content = zlib.compress(text.encode())
                await conn.send(ConfigurationUpdate(50, 50, content))

    with trio.move_on_after(3):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer_requests)
            while True:
                await conn.send(Heartbeat(0, 50))
                await trio.sleep(0.25)


@then("the node keeps its configuration and follows the store's next one")
@deferred
async def step_check_kept(context: Context) -> None:
    node = context.world.nodes["h0"]
    assert _get_version(node) == 3
    assert not _list_zones(node)
    _write(context, 4)
    await trio.sleep(2)
    assert _get_version(node) == 4


@then("random orders of writes, drills, reads, restarts and exchanges agree")
def step_check_machine(context: Context) -> None:
    run_state_machine_as_test(StoreErasMachine, settings=_MACHINE_SETTINGS)


_ORDER_KEY = f"rollout/{SERVICE}"
_ORDER = json.dumps(
    {"service": SERVICE, "targetVersion": "v2", "durationS": 12}
).encode()


def _make_records(era: int, *records: tuple[str, bytes]) -> NewestRecords:
    document = json.dumps(make_configuration()).encode()
    entries = [
        KeyedRecord(key, value, offset)
        for offset, (key, value) in enumerate((("config", document), *records))
    ]
    return NewestRecords(entries, len(entries), era)


@given("a node that has read an order in era 1")
def step_order_read(context: Context) -> None:
    context.clock = SteppedClock()
    context.in_force = StateInForce(
        context.clock, 15.0, lambda cfg: None, lambda: None
    )
    newest = _make_records(1, ("evacuate/b", b"{}"), (_ORDER_KEY, _ORDER))
    context.in_force.take_newest(newest, 0)
    (entry,) = context.in_force.state.orders
    context.number = entry.order.number


@when("the store loses the order and the node reads {first} in era 2")
def step_order_lost(context: Context, first: str) -> None:
    in_force = context.in_force
    if first == "the new ones":
        in_force.take_records(in_force.reading, 1, LogRecords([], 3, 2), 0)
    in_force.take_newest(_make_records(2), 0)
    (entry,) = in_force.state.orders
    assert entry.order.number == context.number


@when("the store comes back with the order, and a node starts in era 2")
def step_start_in_era(context: Context) -> None:
    newest = _make_records(2, ("evacuate/b", b"{}"), (_ORDER_KEY, _ORDER))
    context.in_force.take_newest(newest, 0)
    context.other = StateInForce(
        context.clock, 15.0, lambda cfg: None, lambda: None
    )
    context.other.take_newest(newest, 0)
    # Long after the drill, nothing is carried any more.
    context.clock.seconds += 60.0
    context.in_force.drop_lost_keys()


@then("both know the order by its first number")
def step_check_both(context: Context) -> None:
    state, other = context.in_force.state, context.other.state
    assert not state.state_version.lacks(other.state_version)
    assert other.state_version.lacks(state.state_version)
    context.other.adopt(state)
    (entry,) = context.other.state.orders
    assert entry.order.number == context.number
    assert not context.other.state.state_version.lacks(state.state_version)


@when("the order is written again and the node {how}")
def step_order_again(context: Context, how: str) -> None:
    in_force = context.in_force
    records = [KeyedRecord(_ORDER_KEY, _ORDER, 1)]
    match how:
        case "reads on":
            result = LogRecords(records, 2, 2)
            in_force.take_records(in_force.reading, 2, result, 0)
        case "reads all keys":
            in_force.take_newest(_make_records(2, (_ORDER_KEY, _ORDER)), 0)
        case "hears of it first":
            other = StateInForce(
                context.clock, 15.0, lambda cfg: None, lambda: None
            )
            other.take_newest(_make_records(2, (_ORDER_KEY, _ORDER)), 0)
            in_force.adopt(other.state)


@then("the order has its first number, also after a further record")
def step_check_number(context: Context) -> None:
    in_force = context.in_force
    assert _ORDER_KEY not in in_force.state.lost
    for offset in (2, 3):
        (entry,) = in_force.state.orders
        assert entry.order.number == context.number, entry
        record = KeyedRecord("evacuate/a", b"{}", offset)
        result = LogRecords([record], offset + 1, 2)
        in_force.take_records(in_force.reading, 2, result, 0)
