import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.cluster import Cluster
from standins.warm_up import WarmUp

_SLOTS = 6
_CONFIGURATION = {
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
def step_two_nodes(context: Context, count: int, seconds: float) -> None:
    _run(context, count, seconds, "")


@when("{count:d} callers send requests and the upstream restarts after 10 s")
def step_restart(context: Context, count: int) -> None:
    # The upstream warms up slowly, so that an excess request counts as overload
    # until the new incarnation is attached, up to 0.5 s after its start.
    _run(context, count, 28.0, "restart")


@when(
    "{count:d} callers send requests and the upstream becomes cold after 10 s"
)
def step_becomes_cold(context: Context, count: int) -> None:
    _run(context, count, 20.0, "become cold")


@then("the upstream was overloaded {count:d} times")
def step_overloaded(context: Context, count: int) -> None:
    assert context.violations == count, context.violations


@then("the upstream was overloaded at most {count:d} times")
def step_overloaded_at_most(context: Context, count: int) -> None:
    assert context.violations <= count, context.violations


@then("at the end it runs {count:d} requests concurrently")
def step_limit(context: Context, count: int) -> None:
    # The limit is halved while the baseline is measured.
    assert max(context.limits) == count, context.limits


@then("it never ran more than {count:d} request concurrently")
def step_peak(context: Context, count: int) -> None:
    assert context.peak == count, context.peak


def _run(context: Context, callers: int, seconds: float, event: str) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            await cluster.start_log()
            cluster.publish(_CONFIGURATION, base=0)
            for name in ("a", "b"):
                await cluster.start_node(name, name)
            await trio.sleep(1)
            upstream = await cluster.start_upstream(
                "a", "lanes", work_seconds=0.05
            )
            warm_up = WarmUp(_SLOTS, context.warm_up_seconds)
            upstream.warm_up = warm_up
            upstream.state = context.state
            await trio.sleep(1)
            warm_up.restart()
            in_flight_samples = [0]

            async def call(node: str) -> None:
                while True:
                    await cluster.send(node, "lanes")
                    in_flight_samples.append(upstream.in_flight)
                    await trio.sleep(0.02)

            for index in range(callers):
                nursery.start_soon(call, "ab"[index % 2])
            started_at = trio.current_time()
            if event:
                await trio.sleep(10)
                if event == "restart":
                    cluster.crash_upstream("a")
                    await trio.sleep(0.1)
                    await cluster.restart_upstream("a")
                warm_up.restart()
            context.limits = []
            while trio.current_time() < started_at + seconds:
                await trio.sleep(0.1)
                status = cluster.nodes["a"].get_status()
                if trio.current_time() > started_at + seconds - 2:
                    context.limits.append(status.limit)
                assert status.in_flight <= _SLOTS
                in_flight_samples.append(upstream.in_flight)
            context.violations = warm_up.violations
            context.peak = max(in_flight_samples)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@when("it announces a new incarnation while a request of 1 s is in flight")
def step_new_incarnation(context: Context) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            await cluster.start_log()
            cluster.publish(_CONFIGURATION, base=0)
            node = await cluster.start_node("a", "a")
            await trio.sleep(1)
            upstream = await cluster.start_upstream(
                "a", "lanes", work_seconds=1.0
            )
            await trio.sleep(1)
            nursery.start_soon(cluster.send, "a", "lanes")
            await trio.sleep(0.1)
            assert upstream.in_flight == 1
            cluster.incarnations["a"] += 1
            context.attached = []
            for _ in range(20):
                await trio.sleep(0.1)
                assert node.sidecar.upstream is not None
                attached = node.sidecar.upstream.summary.incarnation
                is_new = attached == cluster.incarnations["a"]
                context.attached.append((upstream.in_flight, is_new))
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("the new incarnation accepts requests only after that request")
def step_accepts_after(context: Context) -> None:
    assert (1, True) not in context.attached, context.attached
    assert context.attached[-1] == (0, True), context.attached
