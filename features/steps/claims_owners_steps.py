import trio
from behave import given, step, then, when
from behave.runner import Context

from features.support.claims_world import ClaimsWorld
from features.support.deferred_steps import defer_step

_EFFECTS = {"that would succeed": "ok", "whose gateway is paused": "paused"}


@given("3 owners of one partition")
def step_owners(context: Context) -> None:
    async def work() -> None:
        context.world = ClaimsWorld(context.nursery)
        await trio.sleep(2.0)

    defer_step(context, work)


@step("{seconds:d} s goes by")
def step_go_by(context: Context, seconds: int) -> None:
    async def work() -> None:
        await trio.sleep(seconds)

    defer_step(context, work)


@when("owner {owner:d} is paused")
def step_pause(context: Context, owner: int) -> None:
    async def work() -> None:
        context.world.pause(owner)

    defer_step(context, work)


@when("owner {owner:d} is resumed after {seconds:d} s")
def step_resume(context: Context, owner: int, seconds: int) -> None:
    async def work() -> None:
        await trio.sleep(seconds)
        context.world.resume(owner)
        await trio.sleep(2.0)

    defer_step(context, work)


@when("owner {owner:d} is replaced")
def step_replace(context: Context, owner: int) -> None:
    async def work() -> None:
        context.world.replace_owner(owner)

    defer_step(context, work)


@when("the log drops records older than {seconds:d} s")
def step_drop(context: Context, seconds: int) -> None:
    async def work() -> None:
        context.world.log.expire(seconds)

    defer_step(context, work)


@when("the log becomes unavailable")
def step_down(context: Context) -> None:
    async def work() -> None:
        context.world.log.down = True

    defer_step(context, work)


@when("the log returns without its records")
def step_lose_records(context: Context) -> None:
    async def work() -> None:
        context.world.log.lose_records()
        context.world.log.down = False
        await trio.sleep(2.0)

    defer_step(context, work)


@when("key {key:d} is claimed at owner {owner:d} with a request {effect}")
def step_claim(context: Context, key: int, owner: int, effect: str) -> None:
    async def work() -> None:
        context.world.send(key, owner, _EFFECTS[effect])
        await trio.sleep(0.5)

    defer_step(context, work)


@when("{count:d} keys are claimed at owner 0 within 1 s")
def step_claim_many(context: Context, count: int) -> None:
    async def work() -> None:
        for key in range(count):
            context.world.send(key, 0, "ok")
            await trio.sleep(1 / count)
        await trio.sleep(2.0)

    defer_step(context, work)


@then("key {key:d} ran {count:d} time")
@then("key {key:d} ran {count:d} times")
def step_ran(context: Context, key: int, count: int) -> None:
    async def work() -> None:
        ran = context.world.runs[context.world.make_key(key)]
        assert ran == count, ran
        assert not context.world.violations, context.world.violations

    defer_step(context, work)


@then('the results of key {key:d} are "{results}"')
def step_results(context: Context, key: int, results: str) -> None:
    async def work() -> None:
        name = context.world.make_key(key)
        received = [result for k, result in context.world.results if k == name]
        assert received == results.split(", "), received

    defer_step(context, work)


@then("owner {owner:d} holds {count:d} claims")
def step_holds(context: Context, owner: int, count: int) -> None:
    async def work() -> None:
        assert len(context.world.owners[owner].ledger) == count

    defer_step(context, work)


@then("each of them ran once")
def step_all_ran_once(context: Context) -> None:
    async def work() -> None:
        assert set(context.world.runs.values()) == {1}
        assert len(context.world.runs) == 500, len(context.world.runs)

    defer_step(context, work)


@then("the log received at most {count:d} appends")
def step_appends(context: Context, count: int) -> None:
    async def work() -> None:
        assert len(context.world.log.records) <= count

    defer_step(context, work)
