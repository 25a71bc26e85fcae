import trio
from behave import given, then, when
from behave.runner import Context

from features.support.host_network import HostNetwork
from features.support.platform_scenario import run_on_platform
from features.support.platform_world import (
    SETTLE_SECONDS,
    PlatformWorld,
    make_call,
    make_configuration,
)
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.identity import PeerIdentity


@given('a platform with hosts "{names}"')
def step_create_platform(context: Context, names: str) -> None:
    context.zones = dict.fromkeys(names.split(", "), "a")
    context.configuration = make_configuration()


@given('a platform without a configuration and hosts "{names}"')
def step_omit_configuration(context: Context, names: str) -> None:
    context.zones = dict.fromkeys(names.split(", "), "a")
    context.configuration = None


@given('a platform with a non-idempotent route and hosts "{names}"')
def step_create_non_idempotent_route(context: Context, names: str) -> None:
    context.zones = dict.fromkeys(names.split(", "), "a")
    context.configuration = make_configuration(kind="non_idempotent")


@given('a platform in zones "{zones}" with hosts "{names}"')
def step_create_zones(context: Context, zones: str, names: str) -> None:
    pairs = zip(names.split(", "), zones.split(", "), strict=True)
    context.zones = dict(pairs)
    context.configuration = make_configuration()


@when(
    'the instance of "{name}" reports and a caller sends a request to "{node}"'
)
def step_send(context: Context, name: str, node: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        world.instances[name].healthy = True
        await world.report(name)
        await trio.sleep(0.5)
        context.response = await world.send_request(node, "one")

    run_on_platform(context, scenario, report=False, healthy=False)


@then('the caller gets 200 from the instance of "{name}"')
def step_check_response(context: Context, name: str) -> None:
    assert context.response.status == 200, context.response.status
    assert context.response.body == b"one"
    assert context.response.headers["server-signature"] == "s"
    assert context.world.instances[name].runs == ["one"]


@then("the request names the expected instance and the calling service")
def step_check_headers(context: Context) -> None:
    (head,) = context.world.instances["h2"].heads
    assert head["expected-instance"] == "i-h2"
    assert head["caller-service"] == "lanes"
    assert 900 < int(head["deadline-ms"]) <= 1000
    assert head["host"] == "club.example"


@when('a request and a readiness check are sent to "{node}"')
def step_check_readiness(context: Context, node: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        context.response = await world.send_request(node, "one")
        check = await world.send(f"{node}:3", "GET", "/ready", {})
        context.check = check.status

    run_on_platform(context, scenario, report=False)


@then("the caller gets 503 with a retry delay and the check gets 503")
def step_check_not_ready(context: Context) -> None:
    assert context.response.status == 503
    assert float(context.response.headers["retry-after"]) > 0
    assert context.check == 503


@when('a caller requests "{target}" from "{node}"')
def step_request_target(context: Context, target: str, node: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        context.response = await world.send_request(node, "one", target)

    run_on_platform(context, scenario)


@then("the caller gets {status:d}")
def step_check_status(context: Context, status: int) -> None:
    assert context.response.status == status, context.response.status


@when(
    'the instance of "{name}" repeats the response to "{first}" before that to '
    '"{second}"'
)
def step_repeat_response(
    context: Context, name: str, first: str, second: str
) -> None:
    async def scenario(world: PlatformWorld) -> None:
        world.instances[name].repeated_request_id = first
        context.responses = [
            await world.send_request(name, request_id)
            for request_id in (first, second, "three")
        ]

    run_on_platform(context, scenario)


async def _send_bookings(
    context: Context, world: PlatformWorld, name: str, *request_ids: str
) -> None:
    context.by_id = {
        request_id: await world.send_request(
            name, request_id, method="POST", body=b"x"
        )
        for request_id in request_ids
    }


@when(
    'the instance of "{name}" refuses "{refused}" and writes the refusal'
    ' {form} before the response to "{second}"'
)
def step_repeat_refusal(
    context: Context, name: str, refused: str, form: str, second: str
) -> None:
    async def scenario(world: PlatformWorld) -> None:
        instance = world.instances[name]
        instance.refused_ids = frozenset({refused})
        instance.repeats_refusals = True
        instance.names_repeated = "without id" not in form
        # The connection has served a request, so it is reused.
        await _send_bookings(context, world, name, "zero", refused, second)

    run_on_platform(context, scenario)


@when(
    'the instance of "{name}" writes a refusal without id before the response'
    ' to "{second}"'
)
def step_extra_refusal(context: Context, name: str, second: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        world.instances[name].extra_refusal_id = second
        await _send_bookings(context, world, name, "zero", second)

    run_on_platform(context, scenario)


@then('the caller of "{request_id}" gets {status:d} and it did not run')
def step_check_not_run(context: Context, request_id: str, status: int) -> None:
    assert context.by_id[request_id].status == status
    assert request_id not in context.world.instances["h1"].runs


@then('the caller of "{request_id}" gets {status:d} and it ran once')
def step_check_ran_once(context: Context, request_id: str, status: int) -> None:
    assert context.by_id[request_id].status == status, context.by_id
    assert context.world.instances["h1"].runs.count(request_id) == 1


@then("each caller gets its own response")
def step_check_bodies(context: Context) -> None:
    bodies = [response.body for response in context.responses]
    assert bodies == [b"one", b"two", b"three"], bodies
    assert context.world.instances["h1"].runs == ["one", "two", "three"]


@when(
    'the instance of "{name}" is slow and {count:d} requests are sent to '
    '"{node}" in turn'
)
def step_send_in_turn(
    context: Context, name: str, count: int, node: str
) -> None:
    async def scenario(world: PlatformWorld) -> None:
        world.instances[name].slowdown_percent = 500
        context.responses = [
            await world.send_request(node, f"r{index}")
            for index in range(count)
        ]

    run_on_platform(context, scenario)


@then('no request ran at "{name}" and all got 200')
def step_check_unused(context: Context, name: str) -> None:
    assert context.world.instances[name].runs == []
    assert {response.status for response in context.responses} == {200}


@when(
    'the instance of "{name}" is slow for {seconds:g} s while a request waits'
)
def step_recover(context: Context, name: str, seconds: float) -> None:
    async def scenario(world: PlatformWorld) -> None:
        instance = world.instances[name]
        instance.slowdown_percent = 500

        async def recover() -> None:
            await trio.sleep(seconds)
            instance.slowdown_percent = 100

        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(recover)
            context.response = await world.send_request(name, "one")
        context.elapsed = trio.current_time() - started

    run_on_platform(context, scenario)


@then("the response arrives within {seconds:g} s")
def step_check_elapsed(context: Context, seconds: float) -> None:
    assert context.response.status == 200
    assert context.elapsed < seconds, context.elapsed


@when(
    'the instance of "{name}" reports a load of {figures:d} figures and becomes'
    " cold while it gets {rate:d} requests a second"
)
def step_become_cold(
    context: Context, name: str, figures: int, rate: int
) -> None:
    async def scenario(world: PlatformWorld) -> None:
        instance = world.instances[name]
        instance.load_figures = figures
        instance.work_seconds = 0.01
        async with trio.open_nursery() as nursery:
            for index in range(3 * rate):
                if index == rate:
                    instance.cold_ms = 5000
                    # As long as work takes in the platform's cold starts.
                    instance.slowdown_percent = 200
                    context.cold_since = trio.current_time()
                nursery.start_soon(
                    world.send_request, name, f"r{index}", "/lanes/x", "GET", 50
                )
                await trio.sleep(1 / rate)

    run_on_platform(context, scenario)


@then("it ran at most {count:d} requests in each second since then")
def step_check_cold_rate(context: Context, count: int) -> None:
    runs_at = [
        time
        for time in context.world.instances["h1"].runs_at
        if time >= context.cold_since
    ]
    most = max(
        sum(start <= time < start + 1 for time in runs_at) for start in runs_at
    )
    assert most <= count, most


@when(
    'the instance of "{name}", the only one that reports, is cold and gets '
    "{count:d} requests in 1 s"
)
def step_send_to_cold_instance(context: Context, name: str, count: int) -> None:
    async def scenario(world: PlatformWorld) -> None:
        instance = world.instances[name]
        instance.cold_ms = 5000
        instance.work_seconds = 0.001
        await world.report(name, coldRemainingMs=5000)
        await trio.sleep(0.3)

        async def send(index: int) -> None:
            node = ("h1", "h2", "h3")[index % 3]
            await world.send_request(node, f"r{index}", deadline_ms=300)

        with trio.move_on_after(0.99):
            async with trio.open_nursery() as nursery:
                for index in range(count):
                    nursery.start_soon(send, index)
                    await trio.sleep(0.02)

    run_on_platform(context, scenario, report=False)


@then('the instance of "{name}" ran at most {count:d} requests')
def step_check_run_limit(context: Context, name: str, count: int) -> None:
    runs = context.world.instances[name].runs
    assert 0 < len(runs) <= count, runs


@when('the instance of "{name}" reports that it is draining')
def step_drain(context: Context, name: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        assert await world.report(name, state="draining", seq=2) == 200
        context.responses = [
            await world.send_request(node, f"r{node}{index}")
            for index in range(5)
            for node in ("h1", "h2")
        ]

    run_on_platform(context, scenario)


@then('requests through both nodes run at "{name}" only')
def step_check_only_instance(context: Context, name: str) -> None:
    assert {response.status for response in context.responses} == {200}
    others = [
        instance.runs
        for host, instance in context.world.instances.items()
        if host != name
    ]
    assert others == [[]], others


@when("the instances close the connection of a running request")
@when('the instance of "{name}" closes the connection of a running request')
def step_close_connection(context: Context, name: str = "") -> None:
    async def scenario(world: PlatformWorld) -> None:
        for host, instance in world.instances.items():
            if name in ("", host):
                instance.disconnect_target = "/lanes/disconnect"
        context.response = await world.send_request(
            "h1", "one", "/lanes/disconnect", "POST"
        )

    run_on_platform(context, scenario)


@then("the caller gets {status:d} and the request ran once")
def step_check_one_run(context: Context, status: int) -> None:
    _check_runs(context, status, 1)


@then("the caller gets {status:d} and the request ran twice")
def step_check_two_runs(context: Context, status: int) -> None:
    _check_runs(context, status, 2)


def _check_runs(context: Context, status: int, count: int) -> None:
    assert context.response.status == status, context.response.status
    runs = [len(i.runs) for i in context.world.instances.values()]
    assert sum(runs) == count, runs


@when("a request that takes {seconds:g} s has a deadline of 9 s")
def step_send_long_request(context: Context, seconds: float) -> None:
    async def scenario(world: PlatformWorld) -> None:
        world.instances["h1"].work_seconds = seconds
        started = trio.current_time()
        context.response = await world.send_request(
            "h1", "one", deadline_ms=9000
        )
        context.elapsed = trio.current_time() - started

    run_on_platform(context, scenario)


@then("the caller gets {status:d} after {seconds:g} s")
def step_check_timeout(context: Context, status: int, seconds: float) -> None:
    assert context.response.status == status, context.response.status
    assert seconds - 0.01 < context.elapsed < seconds + 0.5, context.elapsed


async def _crash_instances(world: PlatformWorld, indexes: range) -> None:
    for instance in world.instances.values():
        instance.disconnect_target = "/lanes/crash"
    for index in indexes:
        response = await world.send_request("h1", f"c{index}", "/lanes/crash")
        assert response.status >= 500, response.status
        # Each instance restarts after its crash.
        for name in world.instances:
            await world.report(name, born=2_000 + index, seq=1)
        await trio.sleep(0.5)


@when("a request that crashes each instance is sent {count:d} times")
def step_crash_instances(context: Context, count: int) -> None:
    async def scenario(world: PlatformWorld) -> None:
        await _crash_instances(world, range(count))
        context.response = await world.send_request("h2", "other", "/lanes/x")

    run_on_platform(context, scenario)


@when(
    "a request that crashes each instance is sent {count:d} times and all nodes"
    " restart halfway"
)
def step_crash_around_restart(context: Context, count: int) -> None:
    async def scenario(world: PlatformWorld) -> None:
        await _crash_instances(world, range(count // 2))
        names = list(world.nodes)
        for name in names:
            await world.stop_node(name)
        for name in names:
            await world.start_node(name, is_first_start=False)
        await trio.sleep(SETTLE_SECONDS)
        for name in names:
            await world.report(name, born=1_999 + count // 2, seq=2)
        await trio.sleep(SETTLE_SECONDS)
        await _crash_instances(world, range(count // 2, count))
        context.response = await world.send_request("h2", "other", "/lanes/x")

    run_on_platform(context, scenario)


@then("it has run at most {count:d} times and another request is served")
def step_check_few_runs(context: Context, count: int) -> None:
    runs = [
        run
        for instance in context.world.instances.values()
        for run in instance.runs
        if run.startswith("c")
    ]
    assert len(runs) <= count, runs
    assert context.response.status == 200, context.response.status


@when('the connections between "{name}" and the host that served it go silent')
def step_silence(context: Context, name: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        world.nodes[name].instance_proxy.leaving = True
        await world.send_request(name, "first")
        (served,) = [
            host for host, i in world.instances.items() if "first" in i.runs
        ]
        world.fabric.silence(name, served)
        # The router chooses from two hosts, so some requests reach the silent
        # one.
        context.results = []
        for index in range(8):
            started = trio.current_time()
            response = await world.send_request(name, f"r{index}")
            elapsed = trio.current_time() - started
            context.results.append((response.status, elapsed))

    run_on_platform(context, scenario)


@then("each idempotent request gets a response within {seconds:g} s")
def step_check_rerouted(context: Context, seconds: float) -> None:
    for status, elapsed in context.results:
        assert status == 200 and elapsed < seconds, context.results


@when(
    'the connection of a call to "{name}" is closed before "{same}" has read it'
)
def step_close_call(context: Context, name: str, same: str) -> None:
    async def scenario(world: PlatformWorld) -> None:
        node = world.nodes[name]
        attached = node.instance_proxy.attached
        assert attached is not None
        settings = world.nodes["h1"].settings
        connector = PeerConnector(
            HostNetwork(world.fabric, "h1"),
            PeerIdentity("platform", "h1", 1, b"-"),
        )
        conn = await connector.connect(node.settings.peer_address, "exchange")
        call = make_call("one", attached.summary, settings.service)
        await conn.send(call)
        await conn.aclose()
        await trio.sleep(1)

    run_on_platform(context, scenario)


@then('the instance of "{name}" has run no request')
def step_check_no_run(context: Context, name: str) -> None:
    assert context.world.instances[name].runs == []


@when(
    '"{other}", whose instance is draining, gets a request {after:g} s after '
    '"{name}" starts to shut down'
)
def step_stop_node(
    context: Context, name: str, after: float, other: str
) -> None:
    async def scenario(world: PlatformWorld) -> None:
        await world.report(other, state="draining", seq=2)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.nodes[name].shut_down)
            await trio.sleep(after)
            context.response = await world.send_request(other, "one")
            check = await world.send(f"{name}:3", "GET", "/ready", {})
            context.check = check.status

    run_on_platform(context, scenario)


@then('the caller gets 200 and the readiness check of "{name}" gets 503')
def step_check_still_serves(context: Context, name: str) -> None:
    assert context.response.status == 200, context.response.status
    assert context.world.instances[name].runs == ["one"]
    assert context.check == 503
