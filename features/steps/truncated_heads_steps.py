from behave import then, when
from behave.runner import Context

from features.support.platform_scenario import run_on_platform
from features.support.platform_world import PlatformWorld
from rhubarbpaddle.exceptions import RhubarbpaddleError

_REQUEST_ID = "truncated"


@when(
    'the instance of "{name}" closes after each number of bytes of a response'
)
def step_truncate(context: Context, name: str) -> None:
    context.results = {}
    context.response_length = 1

    async def run_scenario(world: PlatformWorld, length: int) -> None:
        await world.start_node("other")
        instance = world.instances[name]
        instance.truncated_length = length
        for run_count, node in enumerate((name, "other"), start=1):
            try:
                response = await world.send_request(node, _REQUEST_ID)
                status = response.status
            except RhubarbpaddleError:
                status = 0
            assert len(instance.runs) == run_count, instance.runs
            context.results[node, length] = status
        context.response_length = instance.response_length

    length = 0
    while length <= context.response_length:
        run_on_platform(context, lambda world, n=length: run_scenario(world, n))
        length += 1


@then("only the whole response has status 200 for the caller")
def step_check(context: Context) -> None:
    for (node, length), status in context.results.items():
        is_whole = length == context.response_length
        assert (status == 200) is is_whole, (node, length, status)
