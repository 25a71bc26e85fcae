import json
from collections import Counter
from typing import Any
from unittest.mock import patch

import logbook
import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context

from features.steps.membership_steps import run_group
from features.support.connection_limit import limit_connections
from features.support.host_network import HostNetwork
from features.support.overlay_group import OverlayGroup
from features.support.platform_world import (
    PlatformWorld,
    make_configuration,
    make_report,
    run_platform_world,
)
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.exceptions import TruncatedError
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.control_link import ControlLink
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.link_end import LinkEnd
from rhubarbpaddle.peer.link_end_log import LinkEndLog


@when("one node fails {count:d} times to send on its control links")
def step_fail_to_send(context: Context, count: int) -> None:
    async def scenario(group: OverlayGroup) -> None:
        send_pending = ControlLink._send_pending
        failures = iter(range(count))

        async def fail(link: ControlLink) -> None:
            if link.peer_id == "n1" and next(failures, None) is not None:
                raise ValueError("can't send")
            await send_pending(link)

        with patch.object(ControlLink, "_send_pending", fail):
            await trio.sleep(5)
        context.link_ends = {
            name: node.overlay.link_ends.counts
            for name, node in group.nodes.items()
        }

    run_group(context, scenario)


@then('that node has recorded ends of links with code "{code}"')
def step_check_own_record(context: Context, code: str) -> None:
    assert context.link_ends["n0"][code], context.link_ends


@then('the other node has recorded ends of links with code "{code}"')
def step_check_other_record(context: Context, code: str) -> None:
    assert context.link_ends["n1"][code], context.link_ends


@given("a record of link ends")
def step_record(context: Context) -> None:
    context.ends_seconds = 0.0


@when(
    "links with {peers:d} peers end {count:d} times each within {seconds:g} "
    "seconds"
)
def step_end_often(
    context: Context, peers: int, count: int, seconds: float
) -> None:
    async def run() -> LinkEndLog:
        record = LinkEndLog(VirtualClock())
        failure = TruncatedError("connection ended", step="receive_message")
        for _ in range(count):
            for peer in range(peers):
                record.record(LinkEnd(f"n{peer}", True, failure, 0.001))
            await trio.sleep(seconds / count)
        return record

    with logbook.TestHandler() as handler:
        clock = trio.testing.MockClock(autojump_threshold=0)
        context.record = trio.run(run, clock=clock)
    context.lines = handler.formatted_records


@then(
    "{count:d} lines are logged, which account for all ends but the last ones"
)
def step_check_link_lines(context: Context, count: int) -> None:
    assert len(context.lines) == count, context.lines
    counts = [int(line.rpartition("not_logged=")[2]) for line in context.lines]
    # Each line counts the ends since the one before it. The ends after the last
    # lines, half a second of 2.5, are not logged yet.
    share = (sum(counts) + count) / sum(context.record.counts.values())
    assert 0.8 <= share < 0.81, share


@then("all {count:d} ends are counted")
def step_check_counts(context: Context, count: int) -> None:
    assert context.record.counts == {"truncated": count}


@given("{count:d} hosts of which one gets a report with {content}")
def step_report_content(context: Context, count: int, content: str) -> None:
    context.count, context.content = count, content


@when("a configuration with another route follows")
def step_follow_configuration(context: Context) -> None:
    sender = "i-h0" if context.content.endswith("version") else "i-other"
    report = make_report(
        sender, seq=9, born=2_000, version="v1-\ud83d", state="ready"
    )

    async def scenario(world: PlatformWorld) -> None:
        hosts = [f"h{index}" for index in range(context.count)]
        await world.start_store(make_configuration())
        await world.start_serving(*hosts)
        await trio.sleep(2)
        with limit_connections(20 * len(hosts)):
            ends = {host: get_link_ends(world, host) for host in hosts}
            await send_instance_message(world, sender, "heartbeat", report)
            if "departure" in context.content:
                await send_instance_message(world, sender, "deregister", {})
            await trio.sleep(2)
            world.put_configuration(make_configuration(2, pathPrefix="/new/"))
            await trio.sleep(2)
        context.link_ends = {
            host: get_link_ends(world, host) - ends[host] for host in hosts
        }
        context.statuses = [
            (await world.send_request(host, f"id-{host}", "/new/x")).status
            for host in hosts
        ]

    run_platform_world(scenario)


def get_link_ends(world: PlatformWorld, host: str) -> int:
    return world.nodes[host].overlay.link_ends.counts.total()


async def send_instance_message(
    world: PlatformWorld, sender: str, endpoint: str, document: dict[str, Any]
) -> None:
    target = f"/instances/{sender}/{endpoint}"
    body = json.dumps(document).encode()
    await world.send("h0:4", "POST", target, {}, body)


@then("all hosts serve the new route within 2 seconds")
def step_check_new_route(context: Context) -> None:
    assert set(context.statuses) == {200}, context.statuses


@then("no link has ended since the report")
def step_check_no_ends(context: Context) -> None:
    assert not any(context.link_ends.values()), context.link_ends


@when("each control link of one node ends at once for {seconds:g} seconds")
def step_end_at_once(context: Context, seconds: float) -> None:
    async def scenario(group: OverlayGroup) -> None:
        node = group.nodes["n0"]

        async def fail(link: ControlLink) -> None:
            if link._table is node.table:
                raise ValueError("can't send")
            await send_pending(link)

        send_pending = ControlLink._send_pending
        before = len(group.fabric.connections)
        active = []
        with (
            patch.object(ControlLink, "_send_pending", fail),
            limit_connections(10_000),
        ):
            for _ in range(int(seconds * 10)):
                await trio.sleep(0.1)
                active.append(node.overlay.has_active_link())
        context.opened = Counter(
            target
            for source, target in group.fabric.connections[before:]
            if source == "n0"
        )
        context.active_share = sum(active) / len(active)

    run_group(context, scenario)


@then("it has opened at most {count:d} links to each neighbour")
def step_check_opened(context: Context, count: int) -> None:
    assert context.opened, "no link was opened"
    assert max(context.opened.values()) <= count, context.opened


@then("it has known that no link is active for most of that time")
def step_check_inactive(context: Context) -> None:
    assert context.active_share < 0.2, context.active_share


class LinkOpener:
    """Opens control links to a node, as a node of any release may do."""

    def __init__(self, group: OverlayGroup, name: str) -> None:
        identity = PeerIdentity("test", name, 1, b"secret")
        network = HostNetwork(group.fabric, name)
        self._connector = PeerConnector(network, identity)

    async def open(self, address: str, seconds: float) -> float:
        """Opens a link and closes it later; returns the wait for it."""
        started_at = trio.current_time()
        conn = await self._connector.connect(address, "control")
        waited = trio.current_time() - started_at
        with trio.move_on_after(seconds):
            while True:
                await conn.receive()
        await conn.aclose()
        return waited


@when("a third node opens links that end at once for {seconds:g} seconds")
def step_open_without_pause(context: Context, seconds: float) -> None:
    async def scenario(group: OverlayGroup) -> None:
        opener = LinkOpener(group, "n9")
        end = trio.current_time() + seconds
        context.accepted = 0
        with limit_connections(5_000):
            while trio.current_time() < end:
                await opener.open("n0:2", 0.003)
                context.accepted += 1
        await trio.sleep(5)
        context.waited = await opener.open("n0:2", 0.003)

    run_group(context, scenario)


@then("at most {count:d} of its links have been accepted")
def step_check_accepted(context: Context, count: int) -> None:
    assert context.accepted <= count, context.accepted


@then("its link 5 seconds later is accepted within {seconds:g} seconds")
def step_check_later_wait(context: Context, seconds: float) -> None:
    assert context.waited <= seconds, context.waited


@when("a third node opens {count:d} links that last {seconds:g} seconds each")
def step_open_lasting(context: Context, count: int, seconds: float) -> None:
    async def scenario(group: OverlayGroup) -> None:
        opener = LinkOpener(group, "n9")
        context.waits = [
            await opener.open("n0:2", seconds) for _ in range(count)
        ]

    run_group(context, scenario)


@then("each of them was accepted within {seconds:g} seconds")
def step_check_waits(context: Context, seconds: float) -> None:
    assert max(context.waits) <= seconds, context.waits
