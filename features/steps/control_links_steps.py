import contextlib
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
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.exceptions import TruncatedError
from rhubarbpaddle.execution.crash_record import CrashRecord
from rhubarbpaddle.execution.crash_update import CrashUpdate
from rhubarbpaddle.membership import Member, MemberStatus
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.control_link import ControlLink
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.link_end import LinkEnd
from rhubarbpaddle.peer.link_end_log import LinkEndLog
from rhubarbpaddle.peer.messages import (
    ConfigurationRequest,
    ConfigurationUpdate,
    CrashCounts,
    Heartbeat,
    MemberUpdate,
)

_TEXT = '{"services": {}, "availability_zones": {"a": {}}}'


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


def _make_member(index: int, host: str) -> Member:
    return Member(
        node_id=f"other-{index}",
        incarnation=1,
        version=1,
        # Not a neighbour, so that no link is replaced because of it.
        status=MemberStatus.DEAD,
        host=host,
        availability_zone="z0",
        peer_address=f"other-{index}:2",
        admin_address=f"other-{index}:3",
        upstream=None,
    )


@when("one node gets {entries} and a configuration")
def step_add_entries(context: Context, entries: str) -> None:
    async def scenario(group: OverlayGroup) -> None:
        node, other = group.nodes["n0"], group.nodes["n1"]
        ends = node.overlay.link_ends.counts.total()
        now = int(VirtualClock().now().timestamp() * 1_000_000)
        unencodable = "\ud83d"
        count = int(entries.split()[0])
        for index in range(count):
            match entries.partition(" ")[2]:
                case "members of which one is no text":
                    host = unencodable if index == count // 3 else "h"
                    node.table.merge(_make_member(index, host))
                case "members whose encoding exceeds one message":
                    # A fourfold frame limit in names of the greatest length.
                    member = _make_member(index, "\U0001f600" * 255)
                    node.table.merge(member)
                case "crash counts of which one is no text":
                    name = unencodable if index == count // 3 else f"f{index}"
                    crash = CrashRecord("n0", now + index)
                    node.crashes.merge(
                        CrashUpdate(name, 0, (crash,), now + index)
                    )
        node.configuration.adopt_text(StateVersion(0, 1), _TEXT, 1)
        node.overlay.flush()
        await trio.sleep(2)
        context.known = len(other.table) - 2 + len(other.crashes.get_updates())
        context.expected = count - ("no text" in entries)
        context.version = other.configuration.accepted
        context.ended = node.overlay.link_ends.counts.total() - ends

    with patch("rhubarbpaddle.peer.connection.MAX_FRAME_BYTES", 16_384):
        run_group(context, scenario)


@then(
    "the other node has all the others and the configuration within"
    " {seconds:d} seconds"
)
def step_check_known(context: Context, seconds: int) -> None:
    assert context.known == context.expected, context.known
    assert context.version is not None


@then("no link has ended meanwhile")
def step_check_no_end(context: Context) -> None:
    assert context.ended == 0, context.ended


async def _open_link(group: OverlayGroup) -> PeerConnection:
    """Opens a control link of a node `n9` to `n0`."""
    identity = PeerIdentity("test", "n9", 1, b"secret")
    connector = PeerConnector(HostNetwork(group.fabric, "n9"), identity)
    return await connector.connect("n0:2", "control")


async def _is_open(conn: PeerConnection) -> bool:
    """Returns whether a link stays open for another second."""
    with trio.move_on_after(1.0):
        while True:
            try:
                await conn.receive()
            except TruncatedError:
                return False
    return True


@when(
    "a third node sends {count:d} messages that are no messages, then its entry"
)
def step_send_malformed(context: Context, count: int) -> None:
    async def scenario(group: OverlayGroup) -> None:
        conn = await _open_link(group)
        with contextlib.suppress(trio.BrokenResourceError, TruncatedError):
            for _ in range(count):
                await conn.stream.send_all(b"\0\0\0\3\x91\xa1x")
            await conn.send(MemberUpdate((_make_member(9, "h"),)))
        await trio.sleep(0.5)
        context.is_open = await _is_open(conn)
        context.known = [
            node.table.get("other-9") is not None
            for node in group.nodes.values()
        ]
        await conn.aclose()

    run_group(context, scenario)


@then("its link is still open and both nodes know the third one")
def step_check_open(context: Context) -> None:
    assert context.is_open
    assert all(context.known), context.known


@then("its link has ended")
def step_check_ended(context: Context) -> None:
    assert not context.is_open


@when(
    "a third node announces configuration {version:d} for {seconds:d} seconds "
    "and sends no text"
)
def step_announce(context: Context, version: int, seconds: int) -> None:
    async def scenario(group: OverlayGroup) -> None:
        context.requests = 0
        conn = await _open_link(group)

        async def answer_requests() -> None:
            while True:
                if isinstance(await conn.receive(), ConfigurationRequest):
                    context.requests += 1
                    await conn.send(ConfigurationUpdate(version, 1, b"no text"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer_requests)
            for _ in range(4 * seconds):
                await conn.send(Heartbeat(0, version))
                await trio.sleep(0.25)
            nursery.cancel_scope.cancel()
        context.is_open = await _is_open(conn)
        await conn.aclose()

    run_group(context, scenario)


@then("it was requested once over its link, which is still open")
def step_check_requested(context: Context) -> None:
    assert context.requests == 1, context.requests
    assert context.is_open


@when("a third node sends a crash count with {fault}")
def step_send_crash_count(context: Context, fault: str) -> None:
    async def scenario(group: OverlayGroup) -> None:
        now = int(VirtualClock().now().timestamp() * 1_000_000)
        update = CrashUpdate("f", 0, (CrashRecord("n9", now),), now)
        match fault:
            case "a sequence of 2^64 - 1":
                update = update._replace(sequence=2**64 - 1)
            case "a time of 2^63":
                update = update._replace(updated_at=2**63)
            case "a name of 2000 characters":
                update = update._replace(fingerprint="f" * 2_000)
            case "1000 crashes":
                crashes = (CrashRecord("n9", now + n) for n in range(1_000))
                update = update._replace(crashes=tuple(crashes))
        conn = await _open_link(group)
        await conn.send(CrashCounts((update,)))
        await trio.sleep(1)
        context.is_open = await _is_open(conn)
        context.stored = [
            node.crashes.get_updates() for node in group.nodes.values()
        ]
        await conn.aclose()

    run_group(context, scenario)


@then("neither node has stored it and its link is still open")
def step_check_not_stored(context: Context) -> None:
    assert context.stored == [[], []], context.stored
    assert context.is_open
