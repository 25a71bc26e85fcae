import json
import uuid
from collections.abc import Mapping

import trio
from behave import given, step, then, when
from behave.runner import Context

from features.support.cluster import Cluster, ReceivedResponse
from features.support.deferred_steps import defer_step
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.node.claim_codec import decode_group
from standins.http_server import StandinResponse

_SERVICE = "lanes"


def make_key(context: Context, seconds: int = 0) -> str:
    milliseconds = int(context.cluster.clock.now().timestamp() * 1000)
    milliseconds += seconds * 1000
    context.key_count = getattr(context, "key_count", 0) + 1
    value = milliseconds << 80 | 7 << 76 | 2 << 62 | context.key_count
    return str(uuid.UUID(int=value))


def count_runs(context: Context, name: str) -> int:
    return sum(upstream.runs[name] for upstream in context.upstreams)


async def start_upstream(context: Context, node: str) -> None:
    upstream = await context.cluster.start_upstream(node, _SERVICE)
    context.upstreams.append(upstream)


async def send(
    context: Context,
    line: str,
    node: str,
    name: str,
    headers: Mapping[str, str],
    body: bytes = b"",
) -> None:
    method, _, target = line.partition(" ")
    started = trio.current_time()
    try:
        response = await context.cluster.send(
            node, _SERVICE, method, target, headers, body
        )
    except RhubarbpaddleError as exc:
        response = ReceivedResponse(0, {}, str(exc).encode())
    context.responses[name] = response
    context.times[name] = trio.current_time() - started


@given('a cluster of nodes "{names}" with upstreams beside "{beside}"')
def step_cluster(context: Context, names: str, beside: str) -> None:
    async def work() -> None:
        cluster = context.cluster = Cluster(context.nursery)
        context.responses, context.times, context.upstreams = {}, {}, []
        await cluster.start_log()
        zones = {zone: {} for zone in ("a", "b", "c", "d")}
        configuration = {
            "services": {_SERVICE: {}},
            "availability_zones": zones,
        }
        cluster.publish(configuration, base=0)
        for name in names.split(", "):
            await cluster.start_node(name, name[0])
        for name in beside.split(", "):
            await start_upstream(context, name)
        await trio.sleep(3.0)
        context.key = make_key(context)

    defer_step(context, work)


@given("the upstreams work for {seconds:d} s")
def step_work(context: Context, seconds: int) -> None:
    async def work() -> None:
        for upstream in context.upstreams:
            upstream.work_seconds = seconds

    defer_step(context, work)


@given("the upstreams respond with {length:d} bytes")
def step_large(context: Context, length: int) -> None:
    async def work() -> None:
        for upstream in context.upstreams:
            upstream.response_bytes = length

    defer_step(context, work)


@given('"{names}" no longer have upstreams')
def step_no_upstreams(context: Context, names: str) -> None:
    async def work() -> None:
        for upstream in context.upstreams:
            upstream.state = "leaving"
        await trio.sleep(3.0)

    defer_step(context, work)


@given("each node considers itself the owner of all partitions")
def step_split(context: Context) -> None:
    async def work() -> None:
        for node in context.cluster.nodes.values():
            own = (node.table.own,)
            node.claims._partitions.get_owners = lambda _, own=own: own

    defer_step(context, work)


@step("{seconds:d} s passes")
def step_pass(context: Context, seconds: int) -> None:
    async def work() -> None:
        await trio.sleep(seconds)

    defer_step(context, work)


@when('"{line}" is sent to "{node}" without a key as "{name}"')
def step_send_plain(context: Context, line: str, node: str, name: str) -> None:
    defer_step(context, lambda: send(context, line, node, name, {}))


@when('"{line}" is sent to "{node}" with key "{key}" as "{name}"')
def step_send_literal(
    context: Context, line: str, node: str, key: str, name: str
) -> None:
    headers = {"idempotency-key": key}
    defer_step(context, lambda: send(context, line, node, name, headers))


@when('"{line}" is sent to "{node}" with a key dated {age:d} s as "{name}"')
def step_send_dated(
    context: Context, line: str, node: str, age: int, name: str
) -> None:
    async def work() -> None:
        headers = {"idempotency-key": make_key(context, age)}
        await send(context, line, node, name, headers)

    defer_step(context, work)


@when('"{line}" is sent to "{node}" with key K as "{name}"')
def step_send_key(context: Context, line: str, node: str, name: str) -> None:
    async def work() -> None:
        headers = {"idempotency-key": context.key}
        await send(context, line, node, name, headers)

    defer_step(context, work)


@when('"{line}" is sent to "{node}" with key K in upper case as "{name}"')
def step_send_upper(context: Context, line: str, node: str, name: str) -> None:
    async def work() -> None:
        headers = {"idempotency-key": context.key.upper()}
        await send(context, line, node, name, headers)

    defer_step(context, work)


@when(
    '"{line}" is sent to "{node}" with key K for organisation'
    ' "{organisation}" as "{name}"'
)
def step_send_organisation(
    context: Context, line: str, node: str, organisation: str, name: str
) -> None:
    async def work() -> None:
        headers = {
            "idempotency-key": context.key,
            "rhubarbpaddle-tenant": organisation,
        }
        await send(context, line, node, name, headers)

    defer_step(context, work)


@when(
    '"{line}" is sent to "{node}" with key K and {length:d} bytes "{byte}" '
    'as "{name}"'
)
def step_send_body(
    context: Context, line: str, node: str, length: int, byte: str, name: str
) -> None:
    async def work() -> None:
        headers = {"idempotency-key": context.key}
        body = byte.encode() * length
        await send(context, line, node, name, headers, body)

    defer_step(context, work)


@when('"{line}" is sent to "{node}" with key K as "{name}" without waiting')
def step_send_start(context: Context, line: str, node: str, name: str) -> None:
    async def work() -> None:
        headers = {"idempotency-key": context.key}
        context.nursery.start_soon(send, context, line, node, name, headers)

    defer_step(context, work)


@when('"{line}" is sent to "{nodes}" at once with key K as "{name}"')
def step_send_all(context: Context, line: str, nodes: str, name: str) -> None:
    async def work() -> None:
        headers = {"idempotency-key": context.key}
        async with trio.open_nursery() as nursery:
            for node in nodes.split(", "):
                nursery.start_soon(send, context, line, node, name, headers)

    defer_step(context, work)


@when('node "{name}" is killed')
def step_kill(context: Context, name: str) -> None:
    async def work() -> None:
        context.cluster.stop_node(name)

    defer_step(context, work)


@when('node "{name}" starts with an upstream')
def step_start(context: Context, name: str) -> None:
    async def work() -> None:
        await context.cluster.start_node(name, name[0])
        await start_upstream(context, name)

    defer_step(context, work)


@when("the log goes down")
def step_log_down(context: Context) -> None:
    async def work() -> None:
        context.cluster.log.available = False

    defer_step(context, work)


@when("the log stops responding")
def step_log_silent(context: Context) -> None:
    async def work() -> None:
        context.cluster.log.silent = True

    defer_step(context, work)


@when("the log comes back")
def step_log_back(context: Context) -> None:
    async def work() -> None:
        context.cluster.log.available = True

    defer_step(context, work)


@when("the log loses its next response")
def step_lose(context: Context) -> None:
    async def work() -> None:
        context.cluster.log.lost_answers = 1

    defer_step(context, work)


@when("the log loses its next response and goes down")
def step_lose_and_fail(context: Context) -> None:
    async def work() -> None:
        log = context.cluster.log
        append = log._append

        async def lose(*arguments: object) -> StandinResponse:
            await append(*arguments)
            log.available, log._append = False, append
            return StandinResponse(0, b"")

        log._append = lose

    defer_step(context, work)


@then('"{name}" gets status {status:d}')
def step_status(context: Context, name: str, status: int) -> None:
    async def work() -> None:
        assert context.responses[name].status == status, context.responses[name]

    defer_step(context, work)


@then(
    '"{name}" gets status {status:d} with code "{code}" and outcome "{outcome}"'
)
def step_code(
    context: Context, name: str, status: int, code: str, outcome: str
) -> None:
    async def work() -> None:
        response = context.responses[name]
        assert response.status == status, response
        assert json.loads(response.body)["code"] == code, response
        assert response.headers["rhubarbpaddle-outcome"] == outcome, response

    defer_step(context, work)


@then('"{name}" has outcome "{outcome}"')
def step_outcome(context: Context, name: str, outcome: str) -> None:
    async def work() -> None:
        response = context.responses[name]
        assert response.headers["rhubarbpaddle-outcome"] == outcome, response

    defer_step(context, work)


@then('"{name}" has a retry-after header')
def step_retry_after(context: Context, name: str) -> None:
    async def work() -> None:
        assert int(context.responses[name].headers["retry-after"]) >= 1

    defer_step(context, work)


@then('"{name}" took at most {seconds:d} s')
def step_took(context: Context, name: str, seconds: int) -> None:
    async def work() -> None:
        assert context.times[name] <= seconds, context.times[name]

    defer_step(context, work)


@then('"{name}" is the response of "{first}", replayed')
def step_replayed(context: Context, name: str, first: str) -> None:
    async def work() -> None:
        response, original = context.responses[name], context.responses[first]
        assert original.status == 200, original
        assert "rhubarbpaddle-replayed" not in original.headers
        assert response.headers.get("rhubarbpaddle-replayed") == "true", (
            response
        )
        assert response.status == original.status
        assert response.body == original.body
        assert response.headers["content-type"] == "application/json"

    defer_step(context, work)


@then('"{name}" ran {count:d} times')
@then('"{name}" ran {count:d} time')
def step_runs(context: Context, name: str, count: int) -> None:
    async def work() -> None:
        assert count_runs(context, name) == count, count_runs(context, name)

    defer_step(context, work)


@then("the log holds {count:d} claims")
def step_claims(context: Context, count: int) -> None:
    async def work() -> None:
        found = [
            record
            for name, stream in context.cluster.log.streams.items()
            if name.startswith("claims-")
            for payload in stream.records
            for record in decode_group(payload)[1]
        ]
        assert len(found) == count, found

    defer_step(context, work)
