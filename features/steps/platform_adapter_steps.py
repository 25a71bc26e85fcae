import copy
import json
from datetime import timedelta
from typing import Any

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.host_network import HostNetwork
from features.support.memory_fabric import MemoryFabric
from features.support.platform_world import (
    STORE_ADDRESS,
    PlatformWorld,
    make_configuration,
    make_report,
    make_settings,
    run_platform_world,
)
from rhubarbpaddle.configuration import (
    Route,
    RouteKind,
    RouteTable,
    WeightedService,
)
from rhubarbpaddle.exceptions import (
    AppendUnknownError,
    ConfigurationError,
    ProtocolError,
    RefusedError,
)
from rhubarbpaddle.membership import UpstreamState
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.platform.caller_dialect import PlatformCallerDialect
from rhubarbpaddle.platform.configuration_document import (
    parse_configuration_document,
    parse_version,
)
from rhubarbpaddle.platform.keyed_record import (
    encode_record,
    parse_read_response,
)
from rhubarbpaddle.platform.settings import PlatformSettings
from rhubarbpaddle.platform.store_client import StoreClient
from rhubarbpaddle.platform.upstream_dialect import PlatformUpstreamDialect
from standins.platform_store import PlatformStore

_SECOND = timedelta(seconds=1)


@when('the settings of host "{name}" gain a field that nobody knows')
def step_unknown_field(context: Context, name: str) -> None:
    document = make_settings(name)
    document["local"]["later"] = {"a": 1}
    context.settings = PlatformSettings.from_document(document)


@then('the node\'s id is "{node}" and its store is "{store}"')
def step_settings(context: Context, node: str, store: str) -> None:
    assert context.settings.node_id == node
    assert context.settings.store_address == store


@when('the settings lack "{field}"')
def step_missing(context: Context, field: str) -> None:
    def strip(value: Any) -> Any:
        if isinstance(value, dict):
            return {k: strip(v) for k, v in value.items() if k != field}
        return value

    context.error = None
    try:
        PlatformSettings.from_document(strip(make_settings("h1")))
    except KeyError as exc:
        context.error = exc


@then('loading them fails and names "{field}"')
def step_names(context: Context, field: str) -> None:
    assert context.error is not None and field in str(context.error)


@when("a configuration has {fault}")
def step_fault(context: Context, fault: str) -> None:
    document = copy.deepcopy(make_configuration())
    spec = document["resources"][0]["spec"]
    match fault:
        case "no version":
            del document["version"]
        case "an unknown route kind":
            spec["kind"] = "sometimes"
        case "a route without a host":
            del spec["host"]
        case "no limits":
            document["resources"].pop()
        case "a split without weight":
            spec["trafficSplit"] = [{"service": "lanes", "weight": 0}]
    text = json.dumps(document)
    if fault == "text that is no JSON":
        text = text[:-5]
    context.error = None
    try:
        parse_configuration_document(text)
    except ConfigurationError as exc:
        context.error = exc


@then('it is refused with code "{code}"')
@then('reading them fails with code "{code}"')
def step_code(context: Context, code: str) -> None:
    assert context.error is not None
    assert context.error.code == code, context.error.code


@when('versions "{first}" and "{second}" are read')
def step_versions(context: Context, first: str, second: str) -> None:
    context.versions = (parse_version(first), parse_version(second))


@then("the second is higher")
def step_higher(context: Context) -> None:
    assert context.versions[0] < context.versions[1]


@given('routes for "{one}", "{two}" and "{three}" of host "{host}"')
def step_routes(
    context: Context, one: str, two: str, three: str, host: str
) -> None:
    context.route_table = RouteTable.from_routes(
        Route(
            prefix,
            host,
            prefix,
            RouteKind.IDEMPOTENT,
            (WeightedService("lanes", 1.0),),
            _SECOND,
            _SECOND,
            1,
            2,
        )
        for prefix in (one, two, three)
    )


@when('a request for host "{host}" and target "{target}" comes')
def step_find(context: Context, host: str, target: str) -> None:
    context.route = context.route_table.find(host, target)


@then('its route is "{name}"')
def step_route(context: Context, name: str) -> None:
    found = context.route.name if context.route else "-"
    assert found == name, found


@given("an instance that has reported with start 1000 and sequence 5")
def step_reported(context: Context) -> None:
    context.reports = [make_report("i-h1", seq=5)]


def _play(context: Context, *bodies: bytes) -> None:
    """Sends bodies as status reports; an empty one is a departure."""

    async def script(world: PlatformWorld) -> None:
        await world.start_store(make_configuration())
        await world.start_host("h1")
        await trio.sleep(1)
        first = json.dumps(context.reports[0]).encode()
        for body in (first, *bodies):
            call = "heartbeat" if body else "deregister"
            target = f"/instances/i-h1/{call}"
            answer = await world.send("h1:4", "POST", target, {}, body)
            context.status = answer.status
        attached = world.nodes["h1"].instance_proxy.attached
        assert attached is not None
        context.state = attached.summary.state

    run_platform_world(script)


@when("a report with {fault} comes")
def step_bad_report(context: Context, fault: str) -> None:
    report = make_report("i-h1", seq=6)
    match fault:
        case "an earlier start":
            report["born"] = 500
        case "an earlier sequence":
            report |= {"seq": 4, "state": "draining"}
        case "no start":
            del report["born"]
        case "a text for slots":
            report["slots"] = "six"
        case "an unknown state":
            report["state"] = "resting"
        case "an earlier start draining":
            report |= {"born": 500, "state": "draining"}
    body = json.dumps(report).encode()
    if fault == "bytes that are no JSON":
        body = b"\xff\x00{"
    _play(context, body)


@then("the report gets {status:d} and the instance is still ready")
def step_still_ready(context: Context, status: int) -> None:
    assert context.status == status, context.status
    assert context.state is UpstreamState.WARM


@when("it departs and a report with sequence 6 that was sent before arrives")
def step_late_report(context: Context) -> None:
    _play(context, b"", json.dumps(make_report("i-h1", seq=6)).encode())


@then("the instance is leaving")
def step_leaving(context: Context) -> None:
    assert context.state is UpstreamState.LEAVING, context.state


@when("it departs and reports with start 2000 and sequence 1")
def step_new_start(context: Context) -> None:
    report = make_report("i-h1", born=2_000, seq=1)
    _play(context, b"", json.dumps(report).encode())


@then("the instance is ready again")
def step_ready_again(context: Context) -> None:
    assert context.state is UpstreamState.WARM, context.state


@when('an answer bears the load "{load}"')
def step_load(context: Context, load: str) -> None:
    dialect = PlatformUpstreamDialect(lambda: "i")
    context.reading = dialect.read_load([(b"server-load", load.encode())])


@then("the pace is {pace:g}")
def step_pace(context: Context, pace: float) -> None:
    assert context.reading.pace == pace


@then("there is no reading")
def step_no_reading(context: Context) -> None:
    assert context.reading is None


@when('a refusal with status {status:d} and outcome "{outcome}" is told')
def step_refusal(context: Context, status: int, outcome: str) -> None:
    dialect = PlatformCallerDialect(
        lambda: "lanes",
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        lambda: None,
    )
    exc = RefusedError(
        "c", "d", step="s", status=status, outcome=Outcome(outcome)
    )
    context.told, _, _ = dialect.make_refusal(exc, "id")


@then("the caller gets status {told:d}")
def step_told(context: Context, told: int) -> None:
    assert context.told == told, context.told


@when("a read returns records cut after {count:d} bytes")
def step_cut_records(context: Context, count: int) -> None:
    data = bytes(16) + encode_record("key", b"value")[: 4 + count]
    context.error = None
    try:
        parse_read_response(data, 0)
    except ProtocolError as exc:
        context.error = exc


@when("the store loses the answer to an append")
def step_lost_append(context: Context) -> None:
    async def run() -> None:
        fabric = MemoryFabric()
        store = context.store = PlatformStore()
        store.loses_answers = True
        async with trio.open_nursery() as nursery:
            network = HostNetwork(fabric, "store")
            await nursery.start(network.serve, STORE_ADDRESS, store.handle)
            client = StoreClient(HostNetwork(fabric, "h1"), STORE_ADDRESS)
            context.error = None
            try:
                await client.put("keyed.nodes", "h1", b"value")
            except AppendUnknownError as exc:
                context.error = exc
            store.loses_answers = False
            context.newest = await client.read_newest("keyed.nodes")
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("the client says that the outcome is unknown and the record is there")
def step_unknown_append(context: Context) -> None:
    assert context.error is not None
    (record,) = context.newest.records
    assert (record.key, record.value) == ("h1", b"value")
