import trio
from behave import given, then, when
from behave.runner import Context

from features.support.cluster import Cluster
from features.support.deferred_steps import defer_step

_SETTLE_SECONDS = 3.0
_CHECK_SECONDS = 0.05
_DOCUMENT = {
    "services": {},
    "availability_zones": {"a": {"region": "r"}},
}


@given("a node that reads the log")
def step_start_node(context: Context) -> None:
    async def run_step() -> None:
        cluster = context.cluster = Cluster(context.nursery)
        await cluster.start_log()
        cluster.publish(_DOCUMENT, base=0)
        context.node = await cluster.start_node("n", "a")
        await trio.sleep(_SETTLE_SECONDS)
        context.version = context.node.configuration.get_version()
        assert context.version

    defer_step(context, run_step)


@when("the log doesn't respond for {duration:g} s and then has a publication")
def step_silence_log(context: Context, duration: float) -> None:
    async def run_step() -> None:
        cluster = context.cluster
        cluster.log.silent = True
        cluster.fabric.silence("n", "log")
        await trio.sleep(duration)
        cluster.log.silent = False
        cluster.publish(_DOCUMENT, base=context.version)
        context.published_at = trio.current_time()

    defer_step(context, run_step)


@then("the publication is in force within {seconds:d} s")
def step_check_publication(context: Context, seconds: int) -> None:
    async def run_step() -> None:
        while context.node.configuration.get_version() == context.version:
            await trio.sleep(_CHECK_SECONDS)
            elapsed = trio.current_time() - context.published_at
            assert elapsed < seconds, elapsed

    defer_step(context, run_step)
