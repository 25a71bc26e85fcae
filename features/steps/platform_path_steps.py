import trio
from behave import given, then, when
from behave.runner import Context

from features.support.host_network import HostNetwork
from features.support.platform_scenario import run_on_platform
from features.support.platform_world import (
    PlatformWorld,
    make_call,
    make_configuration,
)
from rhubarbpaddle.peer import PeerIdentity
from rhubarbpaddle.peer.connector import PeerConnector


@given('a platform with hosts "{names}"')
def step_hosts(context: Context, names: str) -> None:
    context.zones = dict.fromkeys(names.split(", "), "a")
    context.configuration = make_configuration()


@given('a platform without a configuration and hosts "{names}"')
def step_no_configuration(context: Context, names: str) -> None:
    context.zones = dict.fromkeys(names.split(", "), "a")
    context.configuration = None


@given('a platform with a non-idempotent route and hosts "{names}"')
def step_non_idempotent(context: Context, names: str) -> None:
    context.zones = dict.fromkeys(names.split(", "), "a")
    context.configuration = make_configuration(kind="non_idempotent")


@given('a platform in zones "{zones}" with hosts "{names}"')
def step_zones(context: Context, zones: str, names: str) -> None:
    pairs = zip(names.split(", "), zones.split(", "), strict=True)
    context.zones = dict(pairs)
    context.configuration = make_configuration()


@when('the instance of "{name}" reports and a caller asks "{node}"')
def step_ask(context: Context, name: str, node: str) -> None:
    async def script(world: PlatformWorld) -> None:
        await world.report(name)
        await trio.sleep(0.5)
        context.answer = await world.ask(node, "one")

    run_on_platform(context, script, report=False, healthy=False)


@then('the caller gets 200 from the instance of "{name}"')
def step_answered(context: Context, name: str) -> None:
    assert context.answer.status == 200, context.answer.status
    assert context.answer.body == b"one"
    assert context.answer.headers["server-signature"] == "s"
    assert context.world.instances[name].runs == ["one"]


@then("the instance was told who it is expected to be and who calls")
def step_told(context: Context) -> None:
    (head,) = context.world.instances["h2"].heads
    assert head["expected-instance"] == "i-h2"
    assert head["caller-service"] == "lanes"
    assert 900 < int(head["deadline-ms"]) <= 1000
    assert head["host"] == "club.example"


@when('a caller asks "{node}" and the readiness check comes')
def step_not_ready(context: Context, node: str) -> None:
    async def script(world: PlatformWorld) -> None:
        context.answer = await world.ask(node, "one")
        check = await world.send(f"{node}:3", "GET", "/ready", {})
        context.check = check.status

    run_on_platform(context, script, report=False)


@then("the caller gets 503 with a time to come back and the check gets 503")
def step_unready(context: Context) -> None:
    assert context.answer.status == 503
    assert float(context.answer.headers["retry-after"]) > 0
    assert context.check == 503


@when('a caller asks for "{target}" at "{node}"')
def step_target(context: Context, target: str, node: str) -> None:
    async def script(world: PlatformWorld) -> None:
        context.answer = await world.ask(node, "one", target)

    run_on_platform(context, script)


@then("the caller gets {status:d}")
def step_status(context: Context, status: int) -> None:
    assert context.answer.status == status, context.answer.status


@when(
    'the instance of "{name}" repeats the answer to "{first}" before that to '
    '"{second}"'
)
def step_repeat(context: Context, name: str, first: str, second: str) -> None:
    async def script(world: PlatformWorld) -> None:
        world.instances[name].extra_after = first
        context.answers = [
            await world.ask(name, request_id)
            for request_id in (first, second, "three")
        ]

    run_on_platform(context, script)


@then("each caller gets its own answer")
def step_own(context: Context) -> None:
    bodies = [answer.body for answer in context.answers]
    assert bodies == [b"one", b"two", b"three"], bodies
    assert context.world.instances["h1"].runs == ["one", "two", "three"]


@when(
    'the instance of "{name}" is slow and {count:d} callers ask "{node}" one '
    "by one"
)
def step_slow(context: Context, name: str, count: int, node: str) -> None:
    async def script(world: PlatformWorld) -> None:
        world.instances[name].pace = 500
        context.answers = [
            await world.ask(node, f"r{index}") for index in range(count)
        ]

    run_on_platform(context, script)


@then('no request ran at "{name}" and all got 200')
def step_passed_over(context: Context, name: str) -> None:
    assert context.world.instances[name].runs == []
    assert {answer.status for answer in context.answers} == {200}


@when('the instance of "{name}" is slow for {seconds:g} s while a caller asks')
def step_spell(context: Context, name: str, seconds: float) -> None:
    async def script(world: PlatformWorld) -> None:
        instance = world.instances[name]
        instance.pace = 500

        async def recover() -> None:
            await trio.sleep(seconds)
            instance.pace = 100

        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(recover)
            context.answer = await world.ask(name, "one")
        context.elapsed = trio.current_time() - started

    run_on_platform(context, script)


@then("the answer comes within {seconds:g} s")
def step_within(context: Context, seconds: float) -> None:
    assert context.answer.status == 200
    assert context.elapsed < seconds, context.elapsed


@when(
    'only the instance of "{name}" reports, cold, and {count:d} callers ask '
    "within 1 s"
)
def step_cold(context: Context, name: str, count: int) -> None:
    async def script(world: PlatformWorld) -> None:
        instance = world.instances[name]
        instance.cold_ms = 5000
        instance.work_seconds = 0.001
        await world.report(name, coldRemainingMs=5000)
        await trio.sleep(0.3)

        async def ask(index: int) -> None:
            node = ("h1", "h2", "h3")[index % 3]
            await world.ask(node, f"r{index}", deadline_ms=300)

        with trio.move_on_after(0.99):
            async with trio.open_nursery() as nursery:
                for index in range(count):
                    nursery.start_soon(ask, index)
                    await trio.sleep(0.02)

    run_on_platform(context, script, report=False)


@then('the instance of "{name}" ran at most {count:d} requests')
def step_bounded(context: Context, name: str, count: int) -> None:
    runs = context.world.instances[name].runs
    assert 0 < len(runs) <= count, runs


@when('the instance of "{name}" reports that it is draining')
def step_draining(context: Context, name: str) -> None:
    async def script(world: PlatformWorld) -> None:
        assert await world.report(name, state="draining", seq=2) == 200
        context.answers = [
            await world.ask(node, f"r{node}{index}")
            for index in range(5)
            for node in ("h1", "h2")
        ]

    run_on_platform(context, script)


@then('requests through both nodes run at "{name}" only')
def step_only(context: Context, name: str) -> None:
    assert {answer.status for answer in context.answers} == {200}
    others = [
        instance.runs
        for host, instance in context.world.instances.items()
        if host != name
    ]
    assert others == [[]], others


@when("the instances cut the connection of a running request")
@when('the instance of "{name}" cuts the connection of a running request')
def step_cut(context: Context, name: str = "") -> None:
    async def script(world: PlatformWorld) -> None:
        for host, instance in world.instances.items():
            if name in ("", host):
                instance.cut_target = "/lanes/cut"
        context.answer = await world.ask("h1", "one", "/lanes/cut", "POST")

    run_on_platform(context, script)


@then("the caller gets {status:d} and the request ran once")
def step_once(context: Context, status: int) -> None:
    _check_runs(context, status, 1)


@then("the caller gets {status:d} and the request ran twice")
def step_twice(context: Context, status: int) -> None:
    _check_runs(context, status, 2)


def _check_runs(context: Context, status: int, count: int) -> None:
    assert context.answer.status == status, context.answer.status
    runs = [len(i.runs) for i in context.world.instances.values()]
    assert sum(runs) == count, runs


@when("work takes {seconds:g} s and a caller with a deadline of 9 s asks")
def step_long(context: Context, seconds: float) -> None:
    async def script(world: PlatformWorld) -> None:
        world.instances["h1"].work_seconds = seconds
        started = trio.current_time()
        context.answer = await world.ask("h1", "one", deadline_ms=9000)
        context.elapsed = trio.current_time() - started

    run_on_platform(context, script)


@then("the caller gets {status:d} after {seconds:g} s")
def step_after(context: Context, status: int, seconds: float) -> None:
    assert context.answer.status == status, context.answer.status
    assert seconds - 0.01 < context.elapsed < seconds + 0.5, context.elapsed


@when("a request cuts and crashes each instance and comes {count:d} times")
def step_crash(context: Context, count: int) -> None:
    async def script(world: PlatformWorld) -> None:
        for instance in world.instances.values():
            instance.cut_target = "/lanes/crash"
        for index in range(count):
            answer = await world.ask("h1", f"c{index}", "/lanes/crash")
            assert answer.status >= 500, answer.status
            # Each crash is followed by a new start of the same instance.
            for name in world.instances:
                await world.report(name, born=2_000 + index, seq=1)
            await trio.sleep(0.5)
        context.answer = await world.ask("h2", "other", "/lanes/x")

    run_on_platform(context, script)


@then("it has run at most {count:d} times and another request is served")
def step_few(context: Context, count: int) -> None:
    runs = [
        run
        for instance in context.world.instances.values()
        for run in instance.runs
        if run.startswith("c")
    ]
    assert len(runs) <= count, runs
    assert context.answer.status == 200, context.answer.status


@when('the connections between "{name}" and the host that served it go silent')
def step_silent(context: Context, name: str) -> None:
    async def script(world: PlatformWorld) -> None:
        world.nodes[name].instance_proxy.leaving = True
        await world.ask(name, "first")
        (served,) = [
            host for host, i in world.instances.items() if "first" in i.runs
        ]
        world.fabric.silence(name, served)
        # With two hosts left to choose from, some of them go to the silent one.
        context.silent = []
        for index in range(8):
            started = trio.current_time()
            answer = await world.ask(name, f"r{index}")
            elapsed = trio.current_time() - started
            context.silent.append((answer.status, elapsed))

    run_on_platform(context, script)


@then("each idempotent request is answered within {seconds:g} s")
def step_sent_elsewhere(context: Context, seconds: float) -> None:
    for status, elapsed in context.silent:
        assert status == 200 and elapsed < seconds, context.silent


@when('a call to "{name}" is closed before "{same}" has read it')
def step_abandoned(context: Context, name: str, same: str) -> None:
    async def script(world: PlatformWorld) -> None:
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

    run_on_platform(context, script)


@then('the instance of "{name}" has run nothing')
def step_nothing(context: Context, name: str) -> None:
    assert context.world.instances[name].runs == []


@when(
    '"{name}" is told to stop and {after:g} s later a caller asks "{other}", '
    "whose instance is gone"
)
def step_stopping(
    context: Context, name: str, after: float, other: str
) -> None:
    async def script(world: PlatformWorld) -> None:
        await world.report(other, state="draining", seq=2)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.nodes[name].shut_down)
            await trio.sleep(after)
            context.answer = await world.ask(other, "one")
            check = await world.send(f"{name}:3", "GET", "/ready", {})
            context.check = check.status

    run_on_platform(context, script)


@then('the caller gets 200 and the readiness of "{name}" is 503')
def step_still_serves(context: Context, name: str) -> None:
    assert context.answer.status == 200, context.answer.status
    assert context.world.instances[name].runs == ["one"]
    assert context.check == 503
