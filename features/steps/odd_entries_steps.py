import contextlib
import json
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import h11
import msgspec
import trio
from behave import given, then, when
from behave.runner import Context
from hypothesis import HealthCheck, settings
from hypothesis import given as generate
from hypothesis import strategies as st

from features.support.connection_limit import limit_connections
from features.support.host_network import HostNetwork
from features.support.platform_world import (
    SERVICE,
    SETTLE_SECONDS,
    PlatformWorld,
    make_configuration,
    make_report,
    make_settings,
    run_platform_world,
)
from rhubarbpaddle.cli.document_check import check_document
from rhubarbpaddle.configuration.records import parse_record
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.http.request_responder import (
    RequestResponder,
    ShortResponse,
)
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.platform.configuration_document import (
    parse_configuration_document,
)
from rhubarbpaddle.platform.keyed_record import (
    KeyedRecord,
    parse_read_response,
)
from rhubarbpaddle.platform.newest_records import NewestRecords
from rhubarbpaddle.platform.report_document import (
    parse_departure,
    parse_report,
)
from rhubarbpaddle.platform.settings import PlatformSettings
from rhubarbpaddle.platform.store_configuration_state import (
    StoreConfigurationState,
)
from rhubarbpaddle.platform.store_reading import StoreReading
from rhubarbpaddle.platform.upstream_dialect import PlatformUpstreamDialect
from rhubarbpaddle.telemetry.event_logger import format_event
from standins.platform_documents import make_route_entry

_NESTED = b"[" * 20_000 + b"]" * 20_000
_NESTED_LESS = b"[" * 400 + b"]" * 400
_LONG_NUMBER = "9" * 5_000
# What remains of a character if a program cuts a text inside it. JSON can hold
# it, UTF-8 can't.
_UNENCODABLE = "v1-\ud83d"


def _make_entry(address: str) -> bytes:
    return json.dumps({"peer_address": address}).encode()


_DIRECTORY_ENTRIES = {
    "20000 nested lists": _NESTED,
    "400 nested lists": b'{"peer_address":' + _NESTED_LESS + b"}",
    "port 99999": _make_entry("h9:99999"),
    "port 0": _make_entry("h9:0"),
    "a port of 5000 digits": _make_entry(f"h9:{_LONG_NUMBER}"),
    "a superscript digit as port": _make_entry("h9:²"),
    "a host name": _make_entry("example.org:1"),
    "a number too large": b'{"peer_address": 1e999}',
    "bytes that are not UTF-8": b'{"peer_address": "\xff"}',
    "an address that is a list": b'{"peer_address": [[[]]]}',
    "a key with spaces": _make_entry("h9:1"),
    "crash records in 400 lists": _NESTED_LESS,
    "crash records of numbers": b'[["f", 0, [1, 2], 3]]',
    "crash records at 2^63": b'[["f", 0, [["h9", 1]], 9223372036854775808]]',
    "a lone surrogate as address": _make_entry(_UNENCODABLE),
    "crash records of a lone surrogate": json.dumps(
        [[_UNENCODABLE, 0, [["h9", 1], ["h8", 2]], 4_000_000_000_000_000]]
    ).encode(),
}
# The keys of entries other than those of nodes.
_DIRECTORY_KEYS = {"a key": "a b&c\n", "crash records": "crashed/h9"}


@given("the directory of nodes holds an entry with {content}")
def step_odd_entry(context: Context, content: str) -> None:
    context.entry = _DIRECTORY_ENTRIES[content]
    keys = (
        key
        for start, key in _DIRECTORY_KEYS.items()
        if content.startswith(start)
    )
    context.key = next(keys, "odd")


@when("two hosts start and a caller of one needs the other's instance")
def step_start_beside_entry(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> None:
        await world.start_store(make_configuration())
        world.store.put("keyed.nodes", context.key, context.entry)
        # A second page of entries starts after the odd key.
        for index in range(600 if " " in context.key else 0):
            world.store.put("keyed.nodes", f"a {index}", _make_entry("h9:1"))
        (await world.start_host("h1")).healthy = False
        await world.start_host("h2")
        await trio.sleep(SETTLE_SECONDS)
        assert await world.report("h2") == 200
        await trio.sleep(1)
        context.response = await world.send_request("h1", "one")
        context.dialled = set(world.fabric.attempted)

    with limit_connections(200):
        run_platform_world(scenario)


@then("the caller gets a response")
def step_check_served(context: Context) -> None:
    assert context.response.status == 200, context.response.status


@then("no node dials an invalid address")
def step_check_dialled(context: Context) -> None:
    hosts = {address.rpartition(":")[0] for address in context.dialled}
    assert hosts <= {"h1", "h2", "h9", "store"}, hosts
    ports = {address.rpartition(":")[2] for address in context.dialled}
    assert all(port.isascii() and 0 < int(port) < 65_536 for port in ports)


def _make_odd_configuration(content: str) -> bytes:
    document = make_configuration(2)
    routes = [e for e in document["resources"] if e["entryKind"] == "routes"]
    spec = routes[0]["spec"]
    match content:
        case "20000 nested lists":
            return _NESTED
        case "400 nested lists":
            return json.dumps(document).encode()[:-1] + (
                b', "later": ' + _NESTED_LESS + b"}"
            )
        case "a timeout of 1e300":
            spec["timeoutMs"] = 1e300
        case "an infinite timeout":
            spec["timeoutMs"] = float("inf")
        case "a priority that is infinite":
            spec["priority"] = float("inf")
        case "a version of 5000 digits":
            document["version"] = f"r{_LONG_NUMBER}"
    return json.dumps(document).encode()


@given("the operators' topic gets a configuration with {content}")
def step_odd_configuration(context: Context, content: str) -> None:
    context.content = content


@when("a valid version follows")
def step_follow_valid(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> None:
        await world.start_store(make_configuration())
        await world.start_host("h1")
        await trio.sleep(SETTLE_SECONDS)
        assert await world.report("h1") == 200
        if context.content == "20000 nested lists in a zone":
            world.store.put("keyed.op", "evacuate/z", _NESTED)
        else:
            odd = _make_odd_configuration(context.content)
            world.store.put("keyed.op", "config", odd)
        await trio.sleep(2)
        before = await world.send_request("h1", "one")
        world.put_configuration(make_configuration(3, pathPrefix="/new/"))
        await trio.sleep(2)
        after = await world.send_request("h1", "two", "/new/x")
        context.statuses = (before.status, after.status)

    run_platform_world(scenario)


@then("the node serves the valid version")
def step_check_valid_version(context: Context) -> None:
    assert context.statuses == (200, 200), context.statuses


@given("a configuration in which a route's name has a lone surrogate")
def step_surrogate_name(context: Context) -> None:
    document = make_configuration(pathPrefix="/odd/")
    (route,) = (
        entry
        for entry in document["resources"]
        if entry["entryKind"] == "routes"
    )
    route["metadata"]["name"] = _UNENCODABLE
    other = make_route_entry(
        "other", "club.example", "/other/", "idempotent", SERVICE
    )
    document["resources"].append(other)
    context.document = document


@when("it is written to the store and two hosts have read it")
def step_read_surrogate_name(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> None:
        await world.start_store(context.document)
        await world.start_serving("h1", "h2")
        context.statuses = [
            (await world.send_request(host, f"{host}{path}", path)).status
            for host in ("h1", "h2")
            for path in ("/odd/x", "/other/x")
            for _ in range(4)
        ]

    run_platform_world(scenario)


@then("both hosts serve that route and its other routes")
def step_check_surrogate_name(context: Context) -> None:
    assert set(context.statuses) == {200}, context.statuses


def _make_odd_report(fault: str) -> bytes:
    report: dict[str, Any] = make_report("i-h1", seq=6)
    match fault:
        case "an infinite sequence":
            report["seq"] = float("inf")
        case "a sequence of 5000 digits":
            encoded = json.dumps(report | {"seq": 77_777})
            return encoded.replace("77777", _LONG_NUMBER).encode()
        case "a cold time of 1e300":
            report["coldRemainingMs"] = 1e300
        case "a negative cold time":
            report["coldRemainingMs"] = -1
        case "20000 nested lists":
            return _NESTED
        case "a start in the far future":
            report["born"] = 2**50
        case "a start of 2^62":
            report["born"] = 2**62
        case "a sequence far too high":
            report["seq"] = 2**50
        case "a lone surrogate as version" | "a lone surrogate of another id":
            report["version"] = _UNENCODABLE
        case "an encoded lone surrogate":
            text = json.dumps(
                report | {"version": _UNENCODABLE}, ensure_ascii=False
            )
            return text.encode("utf-8", "surrogatepass")
        case "a lone surrogate in a new field":
            report["other"] = [{_UNENCODABLE: 1}]
    return json.dumps(report).encode()


@when(
    "an odd report with {fault} arrives, and then a true one that is draining"
)
def step_report_after_forged(context: Context, fault: str) -> None:
    forged = _make_odd_report(fault)
    true_report = make_report("i-h1", seq=6, state="draining")
    _send_bodies(context, "heartbeat", forged, json.dumps(true_report).encode())


def _send_bodies(
    context: Context, endpoint: str, *bodies: bytes, sender: str = "i-h1"
) -> None:
    """Sends a valid report and then further bodies to the same node."""

    async def scenario(world: PlatformWorld) -> None:
        await world.start_store(make_configuration())
        await world.start_host("h1")
        await trio.sleep(1)
        assert await world.report("h1", seq=5) == 200
        for body in bodies:
            target = f"/instances/{sender}/{endpoint}"
            response = await world.send("h1:4", "POST", target, {}, body)
            context.status = response.status
        attached = world.nodes["h1"].instance_proxy.attached
        assert attached is not None
        context.state = attached.summary.state

    run_platform_world(scenario)


@when("an odd report with {fault} arrives")
def step_send_odd_report(context: Context, fault: str) -> None:
    """Sends a report with an odd value after a valid one."""
    if fault == "a departure that is nested":
        _send_bodies(context, "deregister", _NESTED)
    elif fault == "a lone surrogate of another id":
        body = _make_odd_report(fault)
        _send_bodies(context, "heartbeat", body, sender="i-other")
    else:
        _send_bodies(context, "heartbeat", _make_odd_report(fault))


@given("a node whose instance has not reported")
def step_unreported(context: Context) -> None:
    context.status = 0


@when("a report with the start 0 arrives")
def step_report_zero(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> None:
        await world.start_store(make_configuration())
        await world.start_host("h1")
        await trio.sleep(1)
        context.status = await world.report("h1", born=0)

    run_platform_world(scenario)


@then("the report gets {status:d}")
def step_check_report_status(context: Context, status: int) -> None:
    assert context.status == status, context.status


@given("two hosts of which one got a member entry with {content}")
def step_odd_member(context: Context, content: str) -> None:
    summary = UpstreamSummary("lanes", "i-h9", 1, UpstreamState.WARM, 6)
    member = Member(
        node_id="h9",
        incarnation=1,
        version=1,
        status=MemberStatus.ALIVE,
        host="h9",
        availability_zone="a",
        peer_address="h9:1",
        admin_address="h9:3",
        upstream=summary,
    )
    match content:
        case "port 99999":
            member = member._replace(peer_address="h9:99999")
        case "a host name":
            member = member._replace(peer_address="example.org:1")
        case "a version of 2^63":
            member = member._replace(version=2**63)
        case "no slots":
            member = member._replace(upstream=summary._replace(slots=0))
        case "a name of 2000 characters":
            member = member._replace(node_id="h" * 2_000)
    context.member = member


@when("it has passed on its members")
def step_pass_on(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> None:
        await world.start_store(make_configuration())
        for name in ("h1", "h2"):
            await world.start_host(name)
        await trio.sleep(SETTLE_SECONDS)
        # As a node of an earlier version, or a faulty one, would send it.
        for link in world.nodes["h1"].overlay._links:
            link.enqueue(context.member)
        await trio.sleep(3)
        known = world.nodes["h2"].table.get(context.member.node_id)
        context.known = known
        context.statuses = [
            (await world.send_request(name, f"id-{name}")).status
            for name in ("h1", "h2")
        ]

    run_platform_world(scenario)


@then("neither host knows the entry and both still serve requests")
def step_check_not_known(context: Context) -> None:
    assert context.known is None, context.known
    assert context.statuses == [200, 200], context.statuses


_ODD_NUMBERS = st.one_of(
    st.integers(),
    st.integers(min_value=2**60, max_value=2**70),
    st.floats(),
    st.just(10**400),
)
# Includes lone surrogates.
_TEXTS = st.text(st.characters(exclude_categories=()), max_size=6)
_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), _ODD_NUMBERS, _TEXTS),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=8,
)
_NESTINGS = st.integers(1, 3_000).map(lambda n: b"[" * n + b"]" * n)


def _change_value(document: Any, choices: list[int], value: Any) -> Any:
    """Replaces a value at a generated place in a document."""
    if not choices or not isinstance(document, dict | list) or not document:
        return value
    keys = (
        list(document) if isinstance(document, dict) else range(len(document))
    )
    key = keys[choices[0] % len(keys)]
    changed = document.copy()
    changed[key] = _change_value(document[key], choices[1:], value)
    return changed


def _make_changed(document: Any) -> st.SearchStrategy[bytes]:
    """Generates documents of which one value is replaced by an odd one."""
    changed = st.builds(
        lambda choices, value: json.dumps(
            _change_value(document, choices, value)
        ).encode("utf-8", "surrogatepass"),
        st.lists(st.integers(0, 7), max_size=6),
        _VALUES,
    )
    return st.one_of(changed, _NESTINGS, st.binary(max_size=40))


def _decode_message(content: bytes) -> None:
    PeerConnection(None, "peer")._decode(content)  # type: ignore[arg-type]


def _parse_settings(content: bytes) -> None:
    from pathlib import Path
    from tempfile import NamedTemporaryFile

    with NamedTemporaryFile() as file:
        file.write(content)
        file.flush()
        PlatformSettings.from_file(Path(file.name))


def _parse_state(content: bytes) -> None:
    version = StateVersion(1, 1)
    newest = NewestRecords([KeyedRecord("config", content, 0)], 1, 1)
    state = StoreReading.from_newest(newest, (), 0.0, 0.0).make_state()
    state.get_records()
    if state.configuration is not None:
        StoreConfigurationState.from_text(state.get_text(0.0), version)
    StoreConfigurationState.from_text(
        content.decode("utf-8", "replace"), version
    )


def _parse_load_header(content: bytes) -> None:
    dialect = PlatformUpstreamDialect(lambda: None)
    dialect.parse_load([(b"server-load", content), (b"cold-ms", content)])


def _check_document(content: bytes) -> None:
    """Checks a document; nodes must accept what the check accepts."""
    text = content.decode("utf-8", "replace")
    report = check_document("f", text, "", None)
    accepted = True
    try:
        parse_configuration_document(text)
    except RhubarbpaddleError:
        accepted = False
    assert accepted != bool(report.errors), report


_MEMBER = ["member", [["h1", 1, 1, "alive", "h1", "a", "h1:1", "h1:2", None]]]
_messages = st.builds(
    lambda choices, value: msgspec.msgpack.encode(
        _change_value(_MEMBER, choices, value)
    ),
    st.lists(st.integers(0, 9), max_size=4),
    st.one_of(st.integers(-(2**63), 2**64 - 1), st.text(max_size=9), st.none()),
) | st.integers(1, 3_000).map(lambda n: b"\x91" * n + b"\xc0")
_loads = st.lists(
    st.one_of(st.integers().map(str), st.just("9" * 5_000), st.text("0 ,²")),
    max_size=5,
).map(lambda parts: ",".join(parts).encode("latin-1", "replace"))

# For each source: what decodes a document, and what generates documents.
_DECODERS: dict[str, tuple[Callable[[bytes], object], st.SearchStrategy[bytes]]]
_DECODERS = {
    "status reports": (
        lambda content: parse_report("i", content),
        _make_changed(make_report("i")),
    ),
    "departures": (
        lambda content: parse_departure("i", content),
        _make_changed({"born": 1}),
    ),
    "configuration documents": (
        parse_configuration_document,
        _make_changed(make_configuration()),
    ),
    "configuration states": (_parse_state, _make_changed(make_configuration())),
    "checked documents": (_check_document, _make_changed(make_configuration())),
    "settings": (_parse_settings, _make_changed(make_settings("h1"))),
    "messages between nodes": (_decode_message, _messages),
    "records of the store": (
        lambda content: parse_read_response(content, 0),
        st.binary(max_size=60),
    ),
    "load headers": (_parse_load_header, _loads),
    "publications": (
        parse_record,
        _make_changed({"id": "x", "base": 1, "text": "", "publisher": "p"}),
    ),
}


@when("{count:d} generated documents are given to the decoder of {source}")
def step_generate(context: Context, count: int, source: str) -> None:
    decode, documents = _DECODERS[source]
    context.decoded = 0

    @settings(
        max_examples=count,
        derandomize=True,
        deadline=timedelta(seconds=5),
        suppress_health_check=list(HealthCheck),
        database=None,
    )
    @generate(documents)
    def check(content: bytes) -> None:
        context.decoded += 1
        # The error that the callers of the decoder handle.
        with contextlib.suppress(RhubarbpaddleError):
            decode(content)

    check()


@then("each one is decoded or rejected by its own error")
def step_check_generated(context: Context) -> None:
    # Any other error has ended the step before.
    assert context.decoded > 0


_SURROGATE_REPORTS = st.builds(
    lambda field, text: json.dumps(make_report("i") | {field: text}).encode(),
    st.sampled_from(["version", "service", "state", "zone", "address", "new"]),
    _TEXTS | st.just(_UNENCODABLE),
)


@when("{count:d} generated reports with lone surrogates are parsed")
def step_parse_reports(context: Context, count: int) -> None:
    context.reports = []

    @settings(max_examples=count)
    @generate(_SURROGATE_REPORTS)
    def check(content: bytes) -> None:
        with contextlib.suppress(RhubarbpaddleError):
            context.reports.append(parse_report("i", content))

    check()


@then("each one that is accepted can be encoded again")
def step_encode_reports(context: Context) -> None:
    assert len({report.version for report in context.reports}) > 10
    for report in context.reports:
        for text in (report.service, report.version):
            assert msgspec.msgpack.decode(msgspec.msgpack.encode(text)) == text
            assert format_event("event", {"text": text}).encode()
            json.dumps(text, ensure_ascii=False).encode()


@given("a server whose handler fails for one request")
def step_failing_handler(context: Context) -> None:
    async def respond(head: h11.Request, content: bytes) -> ShortResponse:
        if head.target == b"/fails":
            raise OverflowError("unexpected")
        return 200, b"text/plain", b"ok"

    context.responder = RequestResponder(respond)


@when("that request and another one arrive")
def step_send_both(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> None:
        network = HostNetwork(world.fabric, "h1")
        async with trio.open_nursery() as nursery:
            await nursery.start(network.serve, "h1:9", context.responder.handle)
            try:
                await world.send("h1:9", "GET", "/fails", {})
            except RhubarbpaddleError as exc:
                context.error = exc
            context.response = await world.send("h1:9", "GET", "/works", {})
            nursery.cancel_scope.cancel()

    context.error = None
    run_platform_world(scenario)


@then("the first connection is closed and the second is answered")
def step_check_both(context: Context) -> None:
    assert context.error is not None
    assert context.response.status == 200
