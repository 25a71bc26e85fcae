import json

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.cluster import Cluster, ReceivedResponse

_SETTLE_SECONDS = 3.0


@given('nodes "{names}" in availability zones "{zones}"')
def step_set_up_nodes(context: Context, names: str, zones: str) -> None:
    pairs = zip(names.split(", "), zones.split(", "), strict=True)
    context.zones = dict(pairs)
    context.services = {}


@given('an upstream of service "{service}" beside node "{node}"')
def step_set_up_upstream(context: Context, service: str, node: str) -> None:
    context.services[node] = service


@when('a caller sends "{method} {target}" for "{service}" to node "{node}"')
@when(
    'a caller sends "{method} {target}" for "{service}" to node "{node}" and'
    " metrics are read"
)
def step_send_request(
    context: Context, method: str, target: str, service: str, node: str
) -> None:
    async def run() -> ReceivedResponse:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            await cluster.start_log()
            cluster.publish(_create_document(context), base=0)
            for name, zone in context.zones.items():
                await cluster.start_node(name, zone)
            for name, service_name in context.services.items():
                await cluster.start_upstream(name, service_name)
            await trio.sleep(_SETTLE_SECONDS)
            response = await cluster.send(node, service, method, target)
            scrape = await cluster.request(
                f"{node}:3", "GET", "/metrics", {"host": node}, b""
            )
            context.metrics = scrape.body.decode()
            nursery.cancel_scope.cancel()
        return response

    context.response = trio.run(run, clock=MockClock(autojump_threshold=0))


@then('the caller gets status {status:d} from instance "{instance}"')
def step_status_from_instance(
    context: Context, status: int, instance: str
) -> None:
    assert context.response.status == status, context.response
    assert json.loads(context.response.body)["instance"] == instance


@then('the caller gets status {status:d} with code "{code}"')
def step_status_with_code(context: Context, status: int, code: str) -> None:
    assert context.response.status == status, context.response
    assert json.loads(context.response.body)["code"] == code
    assert context.response.headers["rhubarbpaddle-outcome"] == "not-run"


@then("the metrics have these values")
def step_metric_values(context: Context) -> None:
    for row in context.table:
        lines = [
            line
            for line in context.metrics.splitlines()
            if line.startswith((row["name"] + "{", row["name"] + " "))
        ]
        values = [line.rpartition(" ")[2] for line in lines]
        assert [float(value) for value in values] == [float(row["value"])], (
            row["name"],
            lines,
        )


def _create_document(context: Context) -> dict[str, object]:
    zones = set(context.zones.values())
    return {
        "services": {name: {} for name in context.services.values()},
        "availability_zones": {zone: {} for zone in zones},
    }
