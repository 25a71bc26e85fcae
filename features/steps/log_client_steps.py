from collections.abc import Awaitable, Callable

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.log_client_world import LogClientWorld
from rhubarbpaddle.exceptions import RhubarbpaddleError

Operation = Callable[[], Awaitable[None]]


def run_operations(context: Context, check: Operation) -> None:
    # The `given` and `when` steps only collect operations, since all of them
    # must run in one event loop. Each `then` step runs them again.
    world = context.world = LogClientWorld()

    async def run() -> None:
        context.error, context.elapsed = None, 0.0
        for prepare in context.preparations:
            await prepare()
        started = trio.current_time()
        try:
            await context.operation()
        except RhubarbpaddleError as exc:
            context.error = exc
        context.elapsed = trio.current_time() - started
        await check()

    world.run(run)


@given("a log")
def step_log(context: Context) -> None:
    context.preparations = []


@given("the log is configured with {document}")
def step_configure_log(context: Context, document: str) -> None:
    context.preparations.append(lambda: context.world.configure(document))


@given("a connection to the log that went silent after use")
def step_silent_connection(context: Context) -> None:
    async def operation() -> None:
        await context.world.append()
        context.world.fabric.silence("node", "log")

    context.preparations.append(operation)


@given("2 idle connections to the log, of which one breaks when it is used")
def step_breaking_connection(context: Context) -> None:
    async def operation() -> None:
        world = context.world
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.read, 1.0)
            nursery.start_soon(world.read, 1.0)
        assert world.connection_count == 2
        world.break_next = True

    context.preparations.append(operation)


@when("{count:d} records are appended one after another")
def step_append_many(context: Context, count: int) -> None:
    async def operation() -> None:
        for _ in range(count):
            await context.world.append()

    context.operation = operation


@when("a record is appended")
def step_append(context: Context) -> None:
    async def operation() -> None:
        await context.world.append()

    context.operation = operation


@when("the log is read with a wait of {seconds:d} s")
def step_read(context: Context, seconds: int) -> None:
    async def operation() -> None:
        await context.world.read(seconds, context.world.stream.end_offset)

    context.operation = operation


@when("a read is cancelled and a record is appended")
def step_cancelled_read(context: Context) -> None:
    async def operation() -> None:
        with trio.move_on_after(1.0):
            await context.world.read(5.0)
        await context.world.append()

    context.operation = operation


@then("the log has {count:d} record")
@then("the log has {count:d} records")
def step_record_count(context: Context, count: int) -> None:
    async def check() -> None:
        assert len(context.world.stream.records) == count

    run_operations(context, check)


@then("the log has 1 record after {seconds:d} s")
def step_late_record(context: Context, seconds: int) -> None:
    async def check() -> None:
        assert not context.world.stream.records
        await trio.sleep(seconds)
        assert len(context.world.stream.records) == 1

    run_operations(context, check)


@then("{count:d} connection was opened to the log")
@then("{count:d} connections were opened to the log")
def step_connection_count(context: Context, count: int) -> None:
    assert context.world.connection_count == count, (
        context.world.connection_count
    )


@then('the append fails with "{code}" within {seconds:g} s')
@then('the read fails with "{code}" within {seconds:g} s')
def step_fails(context: Context, code: str, seconds: float) -> None:
    async def check() -> None:
        assert context.error is not None
        assert context.error.code == code, context.error
        assert context.elapsed <= seconds, context.elapsed

    run_operations(context, check)


@then("the read succeeds")
def step_read_succeeds(context: Context) -> None:
    async def check() -> None:
        assert context.error is None, context.error

    run_operations(context, check)


@then("the next append succeeds")
def step_next_append(context: Context) -> None:
    async def check() -> None:
        assert context.error is not None
        await context.world.append()

    run_operations(context, check)


@then("a read from the start returns offsets {first:d} to {last:d}")
def step_retained_offsets(context: Context, first: int, last: int) -> None:
    async def check() -> None:
        batch = await context.world.read(0.0)
        assert batch.first_offset == first
        offsets = [record.offset for record in batch.records]
        assert offsets == list(range(first, last + 1)), offsets

    run_operations(context, check)


@then("a read from the start returns no records after {seconds:d} s")
def step_records_expired(context: Context, seconds: int) -> None:
    async def check() -> None:
        await trio.sleep(seconds)
        batch = await context.world.read(0.0)
        assert batch.first_offset == batch.end_offset == 5
        assert not batch.records

    run_operations(context, check)
