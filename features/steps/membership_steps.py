from collections import defaultdict
from collections.abc import Awaitable, Callable
from unittest.mock import patch

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.host_network import HostNetwork
from features.support.memory_fabric import MemoryFabric
from features.support.overlay_group import OverlayGroup, OverlayNode
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.text import parse_configuration
from rhubarbpaddle.exceptions import ProtocolError
from rhubarbpaddle.membership import MemberStatus, Suspicion, choose_neighbours
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.messages import ConfigurationUpdate, MemberUpdate

_JOIN_SECONDS = 30.0
# Several heartbeat intervals, so that late copies are counted as well.
_SPREAD_SECONDS = 3.0
_TEXT = '{"services": {}, "availability_zones": {"a": {}}}'

Scenario = Callable[[OverlayGroup], Awaitable[None]]


def run_group(context: Context, scenario: Scenario) -> None:
    """Starts the nodes, lets them join and runs the scenario."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            group = OverlayGroup(nursery, zone_count=context.zone_count)
            names = [f"n{index}" for index in range(context.count)]
            for name in names:
                group.start(name, "n0:2")
            await group.wait_for_agreement(set(names), _JOIN_SECONDS)
            await trio.sleep(_JOIN_SECONDS)
            context.names = set(names)
            await scenario(group)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@given("{count:d} nodes that know each other")
def step_count(context: Context, count: int) -> None:
    context.count, context.zone_count = count, 1


@given("{count:d} nodes in {zones:d} zones that know each other")
def step_count_in_zones(context: Context, count: int, zones: int) -> None:
    context.count, context.zone_count = count, zones


@when("one node is killed")
def step_killed(context: Context) -> None:
    async def scenario(group: OverlayGroup) -> None:
        group.kill("n5")
        expected = context.names - {"n5"}
        context.elapsed = await group.wait_for_agreement(expected, 30.0)

    run_group(context, scenario)


@when("one node loses all its traffic for {seconds:g} seconds")
def step_silent(context: Context, seconds: float) -> None:
    async def scenario(group: OverlayGroup) -> None:
        others = context.names - {"n5"}
        links = {("n5", name) for name in others}
        group.fabric.blocked = links | {(b, a) for a, b in links}
        silent = group.nodes.pop("n5")
        context.elapsed = await group.wait_for_agreement(others, 30.0)
        await trio.sleep(seconds - context.elapsed)
        group.fabric.blocked = set()
        group.nodes["n5"] = silent
        context.agreement_seconds = await group.wait_for_agreement(
            context.names, 60.0
        )

    run_group(context, scenario)


@when("one node is killed and restarted without state")
def step_replaced(context: Context) -> None:
    async def scenario(group: OverlayGroup) -> None:
        group.kill("n5")
        await trio.sleep(0.2)
        group.start("n5", "n0:2")
        context.agreement_seconds = await group.wait_for_agreement(
            context.names, 60.0
        )

    run_group(context, scenario)


@when("the cluster is partitioned into two halves for {seconds:g} seconds")
def step_partitioned(context: Context, seconds: float) -> None:
    async def scenario(group: OverlayGroup) -> None:
        first_half = {name for name in context.names if int(name[1:]) < 6}
        second_half = context.names - first_half
        links = {(a, b) for a in first_half for b in second_half}
        group.fabric.blocked = links | {(b, a) for a, b in links}
        await trio.sleep(seconds)
        assert group.nodes["n0"].get_alive() == first_half
        assert group.nodes["n9"].get_alive() == second_half
        group.fabric.blocked = set()
        context.agreement_seconds = await group.wait_for_agreement(
            context.names, 120.0
        )

    run_group(context, scenario)


@when("one pair of neighbours loses its traffic for {seconds:g} seconds")
def step_pair(context: Context, seconds: float) -> None:
    async def scenario(group: OverlayGroup) -> None:
        table = group.nodes["n5"].table
        zones = {member.node_id: member.availability_zone for member in table}
        other = min(choose_neighbours("n5", zones))
        group.fabric.block_both_ways("n5", other)
        context.dead = set()
        for _ in range(int(seconds / 0.1)):
            await trio.sleep(0.1)
            context.dead |= {
                member.node_id
                for node in group.nodes.values()
                for member in node.table
                if member.status is MemberStatus.DEAD
            }

    run_group(context, scenario)


@when("all nodes of a zone that have links to others are killed at once")
def step_kill_bridges(context: Context) -> None:
    async def scenario(group: OverlayGroup) -> None:
        bridges = [
            name
            for name, node in group.nodes.items()
            if node.table.own.availability_zone == "z0"
            and node.has_link_between_zones()
        ]
        assert 4 <= len(bridges) < context.count / context.zone_count, bridges
        for name in bridges:
            group.kill(name)
        group.nodes["n1"].configuration.accepted = AcceptedConfiguration(
            1, "digest", _TEXT, 0, parse_configuration(_TEXT)
        )
        started = trio.current_time()
        while not all(
            node.configuration.accepted for node in group.nodes.values()
        ):
            await trio.sleep(0.01)
            assert trio.current_time() - started < _JOIN_SECONDS
        context.elapsed = trio.current_time() - started

    run_group(context, scenario)


@when("one node reads a configuration from the log")
def step_configuration(context: Context) -> None:
    async def scenario(group: OverlayGroup) -> None:
        accepted = AcceptedConfiguration(
            1, "digest", _TEXT, 0, parse_configuration(_TEXT)
        )
        group.nodes["n3"].configuration.accepted = accepted
        group.nodes["n3"].overlay.flush()
        started = trio.current_time()
        nodes = group.nodes.values()
        while not all(n.configuration.accepted for n in nodes):
            await trio.sleep(0.01)
            assert trio.current_time() - started < 30.0
        context.elapsed = trio.current_time() - started
        await trio.sleep(_SPREAD_SECONDS)

    original_send = PeerConnection.send
    context.texts_sent = 0

    async def counting_send(conn: PeerConnection, *messages: object) -> None:
        context.texts_sent += sum(
            isinstance(message, ConfigurationUpdate) for message in messages
        )
        await original_send(conn, *messages)  # type: ignore[arg-type]

    with patch.object(PeerConnection, "send", counting_send):
        run_group(context, scenario)


@then("its text was sent at most {count:d} times")
def step_texts_sent(context: Context, count: int) -> None:
    assert 0 < context.texts_sent <= count, context.texts_sent


@when(
    "each of {count:d} nodes leaves, exits and restarts {pause:d} s later "
    "without seeds"
)
def step_restart(context: Context, count: int, pause: int) -> None:
    async def scenario(group: OverlayGroup) -> None:
        accepted = AcceptedConfiguration(
            1, "digest", _TEXT, 0, parse_configuration(_TEXT)
        )
        for node in group.nodes.values():
            node.configuration.accepted = accepted
        for index in range(count):
            name = f"n{index + 1}"
            group.nodes[name].table.update_own(status=MemberStatus.LEAVING)
            await trio.sleep(0.5)
            group.kill(name)
            await trio.sleep(pause)
            node = group.start(name)
            started = trio.current_time()
            while node.configuration.accepted is None:
                await trio.sleep(0.01)
                assert trio.current_time() - started < _JOIN_SECONDS
            context.configuration_seconds.append(trio.current_time() - started)

    context.configuration_seconds = []
    run_group(context, scenario)


@then("each has the configuration {seconds:d} s after its start")
def step_has_configuration(context: Context, seconds: int) -> None:
    assert max(context.configuration_seconds) <= seconds, (
        context.configuration_seconds
    )


@when("a node with another secret connects")
def step_other_secret(context: Context) -> None:
    async def scenario(group: OverlayGroup) -> None:
        network = HostNetwork(group.fabric, "other")
        identity = PeerIdentity("test", "other", 1, b"guess")
        connector = PeerConnector(network, identity)
        context.rejected = False
        try:
            await connector.connect("n0:2", "control")
        except ProtocolError:
            context.rejected = True
        await trio.sleep(5.0)
        context.members = {m.node_id for m in group.nodes["n0"].table}

    run_group(context, scenario)


@given("a node that was declared dead")
def step_declared_dead(context: Context) -> None:
    context.node = OverlayNode("n0", MemoryFabric(), 1, (), 1)


@when("{seconds:g} seconds pass")
def step_pass(context: Context, seconds: float) -> None:
    async def run() -> None:
        table = context.node.table
        clock = VirtualClock()
        suspicion = Suspicion(table, clock)
        dead = table.own._replace(node_id="n1", status=MemberStatus.DEAD)
        table.merge(dead)
        await trio.sleep(seconds)
        suspicion.expire()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("its address is still known")
def step_address_known(context: Context) -> None:
    assert context.node.table.get("n1") is not None


@then("all other nodes see it as dead within {seconds:g} seconds")
def step_dead_within(context: Context, seconds: float) -> None:
    assert context.elapsed <= seconds, context.elapsed


@then("all nodes agree again {seconds:g} seconds after the traffic resumes")
@then("all nodes agree again {seconds:g} seconds after the start")
def step_agreed(context: Context, seconds: float) -> None:
    assert context.agreement_seconds <= seconds, context.agreement_seconds


@then("no node sees another as dead")
def step_none_dead(context: Context) -> None:
    assert not context.dead, context.dead


@then(
    "a configuration that one node read then is in force on all within"
    " {seconds:g} s"
)
@then("it is in force on all nodes within {seconds:g} second")
def step_in_force(context: Context, seconds: float) -> None:
    assert context.elapsed <= seconds, context.elapsed


@then("its connection is rejected and no member is added")
def step_rejected(context: Context) -> None:
    assert context.rejected
    assert context.members == context.names


@when("each node changes its entry twice within {seconds:g} s")
def step_change_entries(context: Context, seconds: float) -> None:
    send = PeerConnection.send
    context.sent_at = defaultdict(list)

    async def send_counted(conn: PeerConnection, *messages: object) -> None:
        context.sent_at[conn] += [
            trio.current_time()
            for message in messages
            if isinstance(message, MemberUpdate)
        ]
        await send(conn, *messages)  # type: ignore[arg-type]

    async def scenario(group: OverlayGroup) -> None:
        with patch.object(PeerConnection, "send", send_counted):
            for _ in range(2):
                for node in group.nodes.values():
                    node.table.update_own()
                    await trio.sleep(seconds / 2 / len(group.nodes))
            await trio.sleep(1.0)
        context.digests = {n.table.digest for n in group.nodes.values()}

    run_group(context, scenario)


@then("no link carries more than {count:d} messages with entries in a second")
def step_check_rate(context: Context, count: int) -> None:
    most = max(
        sum(start <= at < start + 1 for at in times)
        for times in context.sent_at.values()
        for start in times
    )
    assert 0 < most <= count, most


@then("all nodes have the newest entries 1 s later")
def step_check_newest(context: Context) -> None:
    assert len(context.digests) == 1, len(context.digests)
