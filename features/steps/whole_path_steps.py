import json

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.cluster import Answer, Cluster

_SETTLE_SECONDS = 3.0


@given('nodes "{names}" in availability zones "{zones}"')
def step_nodes(context: Context, names: str, zones: str) -> None:
    pairs = zip(names.split(", "), zones.split(", "), strict=True)
    context.nodes = dict(pairs)
    context.services = {}


@given('an upstream of service "{service}" beside node "{node}"')
def step_upstream(context: Context, service: str, node: str) -> None:
    context.services[node] = service


@when('a caller sends "{method} {target}" for "{service}" to node "{node}"')
@when(
    'a caller sends "{method} {target}" for "{service}" to node "{node}" and'
    " metrics are read"
)
def step_send(
    context: Context, method: str, target: str, service: str, node: str
) -> None:
    async def run() -> Answer:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            await cluster.start_log()
            cluster.publish(_make_text(context), base=0)
            for name, zone in context.nodes.items():
                await cluster.start_node(name, zone)
            for name, upstream in context.services.items():
                await cluster.start_upstream(name, upstream)
            await trio.sleep(_SETTLE_SECONDS)
            answer = await cluster.send(node, service, method, target)
            scrape = await cluster.request(
                f"{node}:3", "GET", "/metrics", {"host": node}, b""
            )
            context.metrics = scrape.body.decode()
            nursery.cancel_scope.cancel()
        return answer

    context.answer = trio.run(run, clock=MockClock(autojump_threshold=0))


@then('the caller gets status {status:d} from instance "{instance}"')
def step_answered(context: Context, status: int, instance: str) -> None:
    assert context.answer.status == status, context.answer
    assert json.loads(context.answer.body)["instance"] == instance


@then('the caller gets status {status:d} with code "{code}"')
def step_refused(context: Context, status: int, code: str) -> None:
    assert context.answer.status == status, context.answer
    assert json.loads(context.answer.body)["code"] == code
    assert context.answer.headers["rhubarbpaddle-outcome"] == "not-run"


@then("the metrics hold")
def step_metrics(context: Context) -> None:
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


def _make_text(context: Context) -> dict[str, object]:
    zones = set(context.nodes.values())
    return {
        "services": {name: {} for name in context.services.values()},
        "availability_zones": {zone: {} for zone in zones},
    }
