import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.cluster import Cluster
from standins.warm_up import WarmUp

_SLOTS = 6
_TEXT = {
    "services": {"lanes": {"slots": _SLOTS}},
    "availability_zones": {"a": {}, "b": {}},
}


@given("an upstream that needs {seconds:g} s to warm up")
def step_warm_up(context: Context, seconds: float) -> None:
    context.warm_up_seconds = seconds
    context.state = "warm"


@given('an upstream that announces "{state}"')
def step_announces(context: Context, state: str) -> None:
    context.warm_up_seconds = 0.0
    context.state = state


@when("{count:d} callers send requests through two nodes for {seconds:g} s")
def step_load(context: Context, count: int, seconds: float) -> None:
    _run(context, count, seconds, "")


@when("{count:d} callers send requests and the upstream restarts after 10 s")
def step_restart(context: Context, count: int) -> None:
    # A slow warm-up, so that a request too many counts until the new
    # incarnation is attached, up to 0.5 s after the start.
    _run(context, count, 28.0, "restart")


@when("{count:d} callers send requests and the upstream falls back after 10 s")
def step_fall_back(context: Context, count: int) -> None:
    _run(context, count, 20.0, "fall back")


@then("the upstream got more than it bore {count:d} times")
def step_violations(context: Context, count: int) -> None:
    assert context.violations == count, context.violations


@then("the upstream got more than it bore at most {count:d} times")
def step_few_violations(context: Context, count: int) -> None:
    assert context.violations <= count, context.violations


@then("it runs {count:d} requests at once in the end")
def step_limit(context: Context, count: int) -> None:
    # The baseline is measured at half the limit now and then.
    assert max(context.limits) == count, context.limits


@then("it never ran more than {count:d} request at once")
def step_never_more(context: Context, count: int) -> None:
    assert context.peak == count, context.peak


def _run(context: Context, callers: int, seconds: float, event: str) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            await cluster.start_log()
            cluster.publish(_TEXT, base=0)
            for name in ("a", "b"):
                await cluster.start_node(name, name)
            await trio.sleep(1)
            upstream = await cluster.start_upstream("a", "lanes", work=0.05)
            warm_up = WarmUp(_SLOTS, context.warm_up_seconds)
            upstream.warm_up = warm_up
            upstream.state = context.state
            await trio.sleep(1)
            warm_up.restart()
            peaks = [0]

            async def call(node: str) -> None:
                while True:
                    await cluster.send(node, "lanes")
                    peaks.append(upstream.in_flight)
                    await trio.sleep(0.02)

            for index in range(callers):
                nursery.start_soon(call, "ab"[index % 2])
            begin = trio.current_time()
            if event:
                await trio.sleep(10)
                if event == "restart":
                    cluster.crash_upstream("a")
                    await trio.sleep(0.1)
                    await cluster.restart_upstream("a")
                warm_up.restart()
            context.limits = []
            while trio.current_time() < begin + seconds:
                await trio.sleep(0.1)
                status = cluster.nodes["a"].get_status()
                if trio.current_time() > begin + seconds - 2:
                    context.limits.append(status.limit)
                assert status.in_flight <= _SLOTS
                peaks.append(upstream.in_flight)
            context.violations = warm_up.violations
            context.peak = max(peaks)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@when("it announces a new incarnation while a request of 1 s is in flight")
def step_overlap(context: Context) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            await cluster.start_log()
            cluster.publish(_TEXT, base=0)
            node = await cluster.start_node("a", "a")
            await trio.sleep(1)
            upstream = await cluster.start_upstream("a", "lanes", work=1.0)
            await trio.sleep(1)
            nursery.start_soon(cluster.send, "a", "lanes")
            await trio.sleep(0.1)
            assert upstream.in_flight == 1
            cluster.incarnations["a"] += 1
            context.attached = []
            for _ in range(20):
                await trio.sleep(0.1)
                assert node.sidecar.upstream is not None
                held = node.sidecar.upstream.summary.incarnation
                is_new = held == cluster.incarnations["a"]
                context.attached.append((upstream.in_flight, is_new))
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("the new incarnation takes work only after that request")
def step_after(context: Context) -> None:
    assert (1, True) not in context.attached, context.attached
    assert context.attached[-1] == (0, True), context.attached
