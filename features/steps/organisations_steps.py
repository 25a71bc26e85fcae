import json
import random
import re
from collections.abc import Iterable
from datetime import timedelta
from typing import Any
from unittest import mock

import h11
import logbook
import msgspec
import trio
from behave import given, then, when
from behave.runner import Context

from features.support.host_network import HostNetwork
from features.support.platform_scenario import run_on_platform
from features.support.platform_world import (
    SERVICE,
    PlatformWorld,
    make_configuration,
)
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.exceptions import ConfigurationError
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import Heartbeat, Message
from rhubarbpaddle.peer.transit_delay import TransitDelay
from rhubarbpaddle.platform.caller_dialect import PlatformCallerDialect
from rhubarbpaddle.platform.configuration_document import (
    parse_configuration_document,
)
from rhubarbpaddle.routing.traffic_split import TrafficSplit
from standins.platform_documents import (
    make_organisation_entry,
    make_route_entry,
)

Entry = dict[str, Any]


def make_document(
    version: int = 1, club_keys: Any = ("key-club",), **changes: Any
) -> Entry:
    document = make_configuration(version, **changes)
    document["resources"] += [
        make_route_entry("maps", "club.example", "/maps/", "download", SERVICE),
        make_route_entry(
            "public",
            "club.example",
            "/public/",
            "idempotent",
            SERVICE,
            public=True,
        ),
        make_organisation_entry("club", club_keys, priority=0),
        make_organisation_entry("parish", ["key-parish"]),
    ]
    return document


def make_headers(request_id: str, *lines: tuple[str, str]) -> Any:
    return [
        ("host", "club.example"),
        ("request-id", request_id),
        ("deadline-ms", "5000"),
        *lines,
    ]


async def send_head(
    conn: ClientConnection, method: str, headers: Any, target: str = "/lanes/x"
) -> None:
    encoded = [(name, value.encode("latin-1")) for name, value in headers]
    head = h11.Request(method=method, target=target, headers=encoded)
    await conn.send_request(head, BytesBody(b""))


async def receive_status(conn: ClientConnection) -> int:
    response, content = await conn.receive_response()
    while await content.receive():
        pass
    return response.status_code


async def exchange(
    conn: ClientConnection, target: str, headers: Any
) -> tuple[int, bytes]:
    await send_head(conn, "GET", headers, target)
    response, content = await conn.receive_response()
    received = b""
    while chunk := await content.receive():
        received += chunk
    if conn.is_reusable():
        conn.h11.start_next_cycle()
    return response.status_code, received


async def connect(world: PlatformWorld, name: str) -> ClientConnection:
    address = f"{name}:2"
    network = HostNetwork(world.fabric, name)
    return ClientConnection(await network.connect(address), address)


def send(
    context: Context,
    *lines: tuple[str, str],
    name: str = "h1",
    target: str = "/lanes/x",
) -> None:
    async def scenario(world: PlatformWorld) -> None:
        conn = await connect(world, name)
        headers = make_headers("one", *lines)
        context.status, _ = await exchange(conn, target, headers)
        await conn.aclose()

    run_on_platform(context, scenario)


def parse_authorization(text: str) -> list[tuple[str, str]]:
    match text.split(" ", 1):
        case ["no", _]:
            return []
        case ["two", _]:
            return [("authorization", "Token key-club")] * 2
        case ["a", _]:
            return [("authorization", "Token " + "k" * 8000)]
        case [_, value]:
            unescaped = value.strip('"').encode().decode("unicode_escape")
            return [("authorization", unescaped)]
    raise ValueError(text)


@given('a platform with organisations and hosts "{names}"')
def step_create_platform(context: Context, names: str) -> None:
    context.zones = dict.fromkeys(names.split(", "), "a")
    context.configuration = make_document()


@when(
    'a request with key "{key}" and "{header}" of "{other}" is sent to "{name}"'
)
def step_send_key(
    context: Context, key: str, header: str, other: str, name: str
) -> None:
    authorization = ("authorization", f"Token {key}")
    send(context, authorization, (header, other), name=name)


@when('a request with key "{key}" is sent for "{target}"')
def step_send_key_for(context: Context, key: str, target: str) -> None:
    send(context, ("authorization", f"Token {key}"), target=target)


@when("a request with {authorization} is sent")
def step_send_authorization(context: Context, authorization: str) -> None:
    send(context, *parse_authorization(authorization))


@when(
    'a request with {authorization} and the header of "{other}" is sent for'
    ' "{target}"'
)
def step_send_public(
    context: Context, authorization: str, other: str, target: str
) -> None:
    lines = parse_authorization(authorization)
    send(context, *lines, ("tenant-id", other), target=target)


@when('the request "{text}" is sent as it is')
def step_send_raw(context: Context, text: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        stream = await HostNetwork(world.fabric, "h1").connect("h1:2")
        await stream.send_all(text.encode().decode("unicode_escape").encode())
        context.status = int((await stream.receive_some(100)).split()[1])

    handler = logbook.TestHandler()
    with handler.applicationbound():
        run_on_platform(context, scenario)
    context.log = [str(record.message) for record in handler.records]


@when('the key "{key}" is taken away while a connection is open')
def step_take_key(context: Context, key: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        conn = await connect(world, "h1")
        authorization = ("authorization", f"Token {key}")
        context.statuses = []
        for version in (1, 2):
            headers = make_headers(f"r{version}", authorization)
            status, _ = await exchange(conn, "/lanes/x", headers)
            context.statuses.append(status)
            world.put_configuration(make_document(2, ["key-new"]))
            await trio.sleep(2)

    run_on_platform(context, scenario)


@when("a key is taken away while a request with {key} waits {place}")
def step_take_key_in_queue(context: Context, key: str, place: str) -> None:
    keys = ["key-club", "key-kept"]
    limits = {"timeoutMs": 5000, "targetLatencyMs": 5000}
    context.configuration = make_document(1, keys, **limits)
    own_key = keys[key != "this key"]
    method = "POST" if place == "behind another one" else "GET"

    async def scenario(world: PlatformWorld) -> None:
        if place == "at a distant instance":
            world.fabric.stop_listening("h1:9")
        for name in world.instances:
            assert await world.report(name, slots=1, born=2_000) == 200
        await trio.sleep(4)
        for instance in world.instances.values():
            instance.work_seconds = 1.5
        running = await connect(world, "h1")
        waiting = running if method == "POST" else await connect(world, "h1")
        headers = make_headers("running", ("authorization", "Token key-club"))
        await send_head(running, "GET", headers)
        await trio.sleep(0.3)
        headers = make_headers("waits", ("authorization", f"Token {own_key}"))
        if method == "POST":
            headers.append(("content-length", "0"))
            waiting = ClientConnection(running.stream, running.peer)
        await send_head(waiting, method, headers)
        await trio.sleep(0.3)
        world.put_configuration(make_document(2, keys[1:], **limits))
        context.statuses = [await receive_status(running)]
        waiting.unparsed = running.h11.trailing_data[0]
        context.statuses.append(await receive_status(waiting))
        context.runs = [
            request_id
            for instance in world.instances.values()
            for request_id in instance.runs
        ]

    run_on_platform(context, scenario)


@then("the running request gets {running:d} and the one that waits {waiting:d}")
def step_check_waiting(context: Context, running: int, waiting: int) -> None:
    assert context.statuses == [running, waiting], context.statuses
    assert ("waits" in context.runs) is (waiting == 200), context.runs


@when("a configuration is read in which {fault}")
def step_read_configuration(context: Context, fault: str) -> None:
    document = make_document()
    club = document["resources"][-2]
    spec = club["spec"]
    match fault:
        case "two organisations share a key":
            spec["apiKeys"] = ["key-parish"]
        case "an organisation occurs twice":
            club["metadata"]["name"] = "parish"
        case "a key is not a string":
            spec["apiKeys"] = [17]
        case "a key contains a space":
            spec["apiKeys"] = ["key club"]
        case "a key is a long number":
            spec["apiKeys"] = [98765432109876543210]
        case "a byte is not UTF-8":
            club["metadata"]["name"] = "\xff"
        case "a rate is negative":
            spec["ratePerS"] = -1
        case "a rate is infinite":
            spec["ratePerS"] = "inf"
        case "a name contains a line break":
            club["metadata"]["name"] = "club\r\nx-y: z"
        case _:
            raise ValueError(fault)
    content = json.dumps(document, ensure_ascii=False).encode("latin-1")
    context.error = ""
    try:
        parse_configuration_document(content)
    except ConfigurationError as exc:
        context.error = str(exc)


@when("heads with the keys of both organisations are read")
def step_read_heads(context: Context) -> None:
    cfg = parse_configuration_document(json.dumps(make_document()))
    dialect = PlatformCallerDialect(
        lambda: SERVICE,
        VirtualClock(),
        TrafficSplit(random.Random(1)),
        lambda: cfg,
    )

    async def read(key: str) -> int:
        authorization = ("authorization", f"Token {key}")
        head = h11.Request(
            method="GET",
            target="/lanes/x",
            headers=make_headers("one", authorization),
        )
        return dialect.make_request(head, "-", "one").priority

    context.priorities = {
        name: trio.run(read, f"key-{name}") for name in ("club", "parish")
    }


@then("the request gets status {status:d}")
def step_check_status(context: Context, status: int) -> None:
    assert context.status == status, context.status


@then('the instance gets the organisation "{name}" and no key')
def step_check_organisation(context: Context, name: str) -> None:
    check_organisation(context, name)


@then('the instance gets the organisation "" and no key')
def step_check_no_organisation(context: Context) -> None:
    check_organisation(context, None)


def check_organisation(context: Context, name: str | None) -> None:
    heads = [
        head
        for instance in context.world.instances.values()
        for head in instance.heads
    ]
    assert len(heads) == 1
    assert heads[0].get("tenant-id") == name, heads
    assert "authorization" not in heads[0]
    assert not any("key-club" in value for value in heads[0].values())
    assert "parish" not in heads[0].values()


@then("the request gets status 401 and nothing ran")
def step_check_unauthorized(context: Context) -> None:
    assert context.status == 401, context.status
    instances = context.world.instances.values()
    assert not any(instance.arrivals for instance in instances)


@then("it gets status {status:d} and the log doesn't contain its key")
def step_check_log(context: Context, status: int) -> None:
    assert context.status == status, context.status
    assert any("request_refused" in line for line in context.log)
    assert not [line for line in context.log if "key-club" in line]


@then('the metrics count the refusals "{reasons}"')
def step_check_refusals(context: Context, reasons: str) -> None:
    check_refusals(context, [reasons])


@then('the metrics count the refusals ""')
def step_check_no_refusals(context: Context) -> None:
    check_refusals(context, [])


def check_refusals(context: Context, reasons: list[str]) -> None:
    text = trio.run(context.world.nodes["h1"].metrics.render).decode()
    name = "rhubarbpaddle_keys_refused_total"
    pattern = rf'^{name}{{[^}}]*reason="(\w+)"}} 1.0$'
    assert re.findall(pattern, text, re.MULTILINE) == reasons, text
    assert "key-" not in text


@then("the requests on the connection get 200 before and 401 after")
def step_check_taken(context: Context) -> None:
    assert context.statuses == [200, 401], context.statuses


@then('it is refused with "{reason}"')
def step_check_refused(context: Context, reason: str) -> None:
    assert reason in context.error, context.error
    assert "key-" not in context.error, context.error
    assert "98765" not in context.error, context.error


@then('the priorities are {club:d} for "club" and {parish:d} for "parish"')
def step_check_priorities(context: Context, club: int, parish: int) -> None:
    assert context.priorities == {"club": club, "parish": parish}


@given("keys are {policy} while the configuration can't be confirmed")
def step_set_policy(context: Context, policy: str) -> None:
    context.bounds = {"failClosed": policy == "refused", "revokeMs": 5000}


@when(
    "the store is unreachable for {cut} for {seconds:d} s and requests are sent"
    ' to "h1"'
)
def step_cut_store(context: Context, cut: str, seconds: int) -> None:
    async def scenario(world: PlatformWorld) -> None:
        context.statuses = [await send_with_key(world, "/lanes/x")]
        block_store(world, context.zones if cut == "all" else ["h1"])
        await trio.sleep(seconds)
        context.statuses.append(await send_with_key(world, "/lanes/x"))

    run_on_platform(context, scenario)


@when(
    'the last heartbeats to "{name}" arrive 1.4 s late and {seconds:g} s pass'
)
def step_delay_heartbeats(context: Context, name: str, seconds: float) -> None:
    async def scenario(world: PlatformWorld) -> None:
        block_store(world, [name])
        with world.fabric.hold(name):
            await trio.sleep(0.6)
            for other in world.nodes.keys() - {name}:
                world.fabric.block_both_ways(name, other)
            await trio.sleep(0.8)
        await trio.sleep(seconds)
        context.statuses = [await send_with_key(world, "/lanes/x", name)]

    run_on_platform(context, scenario)


@when("the node reads a response of the store 8 s late and none after it")
def step_read_late(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> None:
        store = world.nodes["h1"].configuration._store
        read = store.read

        async def read_late(*arguments: Any) -> Any:
            response = await read(*arguments)
            block_store(world, ["h1"])
            await trio.sleep(8)
            return response

        with mock.patch.object(store, "read", read_late):
            await trio.sleep(4)
            context.statuses = [await send_with_key(world, "/lanes/x")]
            await trio.sleep(7)
            context.statuses.append(await send_with_key(world, "/lanes/x"))

    run_on_platform(context, scenario)


@when("all heartbeats are those of an earlier release for {seconds:d} s")
def step_send_old_heartbeats(context: Context, seconds: int) -> None:
    send = PeerConnection.send

    async def send_old(conn: PeerConnection, message: Message) -> None:
        if isinstance(message, Heartbeat):
            message = msgspec.structs.replace(message, sent_ms=None)
        await send(conn, message)

    async def scenario(world: PlatformWorld) -> None:
        await trio.sleep(seconds)
        context.statuses = [
            await send_with_key(world, "/lanes/x", name) for name in world.nodes
        ]

    with mock.patch.object(PeerConnection, "send", send_old):
        run_on_platform(context, scenario)


@when("the store comes back after {seconds:d} s without it")
def step_return_store(context: Context, seconds: int) -> None:
    async def scenario(world: PlatformWorld) -> None:
        context.statuses = {"/public/x": [], "/lanes/x": []}
        block_store(world, context.zones)
        for _ in range(2):
            await trio.sleep(seconds)
            for target, statuses in context.statuses.items():
                statuses.append(await send_with_key(world, target))
            world.fabric.blocked.clear()

    run_on_platform(context, scenario)


@when(
    "the settings are reloaded with a bound of 5 s, {restarted}, and 8 s pass"
)
def step_reload_settings(context: Context, restarted: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        for node in world.nodes.values():
            node._settings_file.settings = node.settings._replace(
                revocation_deadline=timedelta(seconds=5)
            )
        if restarted.startswith('"'):
            name = restarted.split('"')[1]
            world.bounds = {"failClosed": True, "revokeMs": 5000}
            await world.stop_node(name)
            await world.start_node(name)
        await trio.sleep(8)
        context.statuses = [
            await send_with_key(world, "/lanes/x", name)
            for name in sorted(world.nodes)
        ]

    run_on_platform(context, scenario)


@when(
    "a request with {authorization} is sent after {seconds:d} s without the"
    " store"
)
def step_send_without_store(
    context: Context, authorization: str, seconds: int
) -> None:
    async def scenario(world: PlatformWorld) -> None:
        if seconds:
            block_store(world, context.zones)
        await trio.sleep(seconds)
        headers = make_headers("one", *parse_authorization(authorization))
        await exchange(await connect(world, "h1"), "/lanes/x", headers)

    run_on_platform(context, scenario)


def block_store(world: PlatformWorld, names: Iterable[str]) -> None:
    for name in names:
        world.fabric.block_both_ways(name, "store")


async def send_with_key(
    world: PlatformWorld, target: str, name: str = "h1"
) -> int:
    conn = await connect(world, name)
    headers = make_headers("one", ("authorization", "Token key-club"))
    status, _ = await exchange(conn, target, headers)
    await conn.aclose()
    return status


@then("the requests get {statuses}")
def step_check_statuses(context: Context, statuses: str) -> None:
    expected = [int(status) for status in statuses.split(", ")]
    assert context.statuses == expected, context.statuses


@then(
    "public requests get 200 all the time and those with keys get 503, then 200"
)
def step_check_returned(context: Context) -> None:
    assert context.statuses == {
        "/public/x": [200, 200],
        "/lanes/x": [503, 200],
    }, context.statuses


@when(
    "heartbeats of a host whose clock loses {loss:g} s a day arrive for"
    " {days:d} days"
)
def step_receive_for_days(context: Context, loss: float, days: int) -> None:
    rate = 1 - loss / 86_400
    context.transit_delay = TransitDelay()
    times = range(0, days * 86_400, 10)
    context.delays = [
        context.transit_delay.measure(rate * time, time + 0.002)
        for time in times
    ]
    context.next_heartbeat = (rate * times.stop, times.stop)


@then("none looks later than {seconds:g} s")
def step_check_none_late(context: Context, seconds: float) -> None:
    assert max(context.delays) <= seconds, max(context.delays)


@then("one that took {delay:g} s longer looks at least {seconds:g} s late")
def step_check_late(context: Context, delay: float, seconds: float) -> None:
    sent_at, received_at = context.next_heartbeat
    late = context.transit_delay.measure(sent_at, received_at + delay)
    assert late >= seconds, late
