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
from rhubarbpaddle.configuration.route import Route
from rhubarbpaddle.configuration.route_kind import RouteKind
from rhubarbpaddle.configuration.route_table import RouteTable
from rhubarbpaddle.configuration.weighted_service import WeightedService
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


@when('the settings of host "{name}" have an unknown field')
def step_parse_settings(context: Context, name: str) -> None:
    document = make_settings(name)
    document["local"]["later"] = {"a": 1}
    context.settings = PlatformSettings.from_document(document)


@then('the node\'s id is "{node}" and its store is "{store}"')
def step_check_settings(context: Context, node: str, store: str) -> None:
    assert context.settings.node_id == node
    assert context.settings.store_address == store


@when('the settings lack "{field}"')
def step_omit_setting(context: Context, field: str) -> None:
    def remove_field(value: Any) -> Any:
        if isinstance(value, dict):
            return {k: remove_field(v) for k, v in value.items() if k != field}
        return value

    context.error = None
    try:
        PlatformSettings.from_document(remove_field(make_settings("h1")))
    except KeyError as exc:
        context.error = exc


@then('loading them fails and names "{field}"')
def step_check_named_field(context: Context, field: str) -> None:
    assert context.error is not None and field in str(context.error)


@when("a configuration has {fault}")
def step_parse_invalid_configuration(context: Context, fault: str) -> None:
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
    if fault == "invalid JSON":
        text = text[:-5]
    context.error = None
    try:
        parse_configuration_document(text)
    except ConfigurationError as exc:
        context.error = exc


@then('it is rejected with code "{code}"')
@then('parsing them fails with code "{code}"')
def step_check_code(context: Context, code: str) -> None:
    assert context.error is not None
    assert context.error.code == code, context.error.code


@then("the error is one readable line")
def step_check_detail(context: Context) -> None:
    # The detail was joined letter by letter: "i; n; v; a; l; i; d".
    assert context.error.detail.startswith("invalid configuration document: ")


@when('versions "{first}" and "{second}" are parsed')
def step_parse_versions(context: Context, first: str, second: str) -> None:
    context.versions = (parse_version(first), parse_version(second))


@then("the second is higher")
def step_check_higher(context: Context) -> None:
    assert context.versions[0] < context.versions[1]


@given(
    'routes with prefixes "{first}", "{second}" and "{third}" of host "{host}"'
)
def step_create_routes(
    context: Context, first: str, second: str, third: str, host: str
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
        for prefix in (first, second, third)
    )


@when('a request for host "{host}" and target "{target}" is routed')
def step_find_route(context: Context, host: str, target: str) -> None:
    context.route = context.route_table.find(host, target)


@then('its route is "{name}"')
def step_check_route(context: Context, name: str) -> None:
    found = context.route.name if context.route else "-"
    assert found == name, found


@given("an instance that has reported with start 1000 and sequence 5")
def step_report(context: Context) -> None:
    context.reports = [make_report("i-h1", seq=5)]


def _send_reports(context: Context, *bodies: bytes) -> None:
    """Sends bodies as status reports; an empty one is a departure."""

    async def scenario(world: PlatformWorld) -> None:
        await world.start_store(make_configuration())
        await world.start_host("h1")
        await trio.sleep(1)
        first = json.dumps(context.reports[0]).encode()
        for body in (first, *bodies):
            endpoint = "heartbeat" if body else "deregister"
            target = f"/instances/i-h1/{endpoint}"
            response = await world.send("h1:4", "POST", target, {}, body)
            context.status = response.status
        attached = world.nodes["h1"].instance_proxy.attached
        assert attached is not None
        context.state = attached.summary.state

    run_platform_world(scenario)


@when("a report with {fault} arrives")
def step_report_fault(context: Context, fault: str) -> None:
    report = make_report("i-h1", seq=6)
    match fault:
        case "an earlier start":
            report["born"] = 500
        case "an earlier sequence":
            report |= {"seq": 4, "state": "draining"}
        case "no start":
            del report["born"]
        case "a string for slots":
            report["slots"] = "six"
        case "an unknown state":
            report["state"] = "resting"
        case "an earlier start draining":
            report |= {"born": 500, "state": "draining"}
    body = json.dumps(report).encode()
    if fault == "a body that is not JSON":
        body = b"\xff\x00{"
    _send_reports(context, body)


@then("the report gets {status:d} and the instance is still ready")
def step_check_still_ready(context: Context, status: int) -> None:
    assert context.status == status, context.status
    assert context.state is UpstreamState.WARM


@when("it departs and a delayed report with sequence 6 arrives")
def step_report_late(context: Context) -> None:
    _send_reports(context, b"", json.dumps(make_report("i-h1", seq=6)).encode())


@then("the instance is leaving")
def step_check_leaving(context: Context) -> None:
    assert context.state is UpstreamState.LEAVING, context.state


@when("it departs and reports with start 2000 and sequence 1")
def step_restart(context: Context) -> None:
    report = make_report("i-h1", born=2_000, seq=1)
    _send_reports(context, b"", json.dumps(report).encode())


@then("the instance is ready again")
def step_check_ready_again(context: Context) -> None:
    assert context.state is UpstreamState.WARM, context.state


@when('a response reports the load "{load}"')
def step_parse_load(context: Context, load: str) -> None:
    dialect = PlatformUpstreamDialect(lambda: "i")
    context.reading = dialect.parse_load([(b"server-load", load.encode())])


@then("the slowdown factor is {factor:g}")
def step_check_slowdown(context: Context, factor: float) -> None:
    assert context.reading.slowdown == factor


@then("there is no reading")
def step_check_no_reading(context: Context) -> None:
    assert context.reading is None


@when('a refusal with status {status:d} and outcome "{outcome}" is sent')
def step_refuse(context: Context, status: int, outcome: str) -> None:
    dialect = PlatformCallerDialect(
        lambda: "lanes",
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        lambda: None,
    )
    exc = RefusedError(
        "c", "d", step="s", status=status, outcome=Outcome(outcome)
    )
    context.sent, _, _ = dialect.make_refusal(exc, "id")


@then("the caller gets status {sent:d}")
def step_check_sent_status(context: Context, sent: int) -> None:
    assert context.sent == sent, context.sent


@when("a read returns records truncated after {count:d} bytes")
def step_truncate_records(context: Context, count: int) -> None:
    data = bytes(16) + encode_record("key", b"value")[: 4 + count]
    context.error = None
    try:
        parse_read_response(data, 0)
    except ProtocolError as exc:
        context.error = exc


@when("the store loses the response to an append")
def step_lose_response(context: Context) -> None:
    async def run() -> None:
        fabric = MemoryFabric()
        store = context.store = PlatformStore()
        store.loses_responses = True
        async with trio.open_nursery() as nursery:
            network = HostNetwork(fabric, "store")
            await nursery.start(network.serve, STORE_ADDRESS, store.handle)
            client = StoreClient(HostNetwork(fabric, "h1"), STORE_ADDRESS)
            context.error = None
            try:
                await client.put("keyed.nodes", "h1", b"value")
            except AppendUnknownError as exc:
                context.error = exc
            store.loses_responses = False
            context.newest = await client.read_newest("keyed.nodes")
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("the client reports an unknown outcome and the record is stored")
def step_check_unknown_outcome(context: Context) -> None:
    assert context.error is not None
    (record,) = context.newest.records
    assert (record.key, record.value) == ("h1", b"value")
