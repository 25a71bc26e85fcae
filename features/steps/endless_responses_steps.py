import trio
from behave import then, when
from behave.runner import Context

from features.support.host_network import HostNetwork
from features.support.platform_scenario import run_on_platform
from features.support.platform_world import PlatformWorld
from rhubarbpaddle.exceptions import RhubarbpaddleError
from standins.endless_instance import EndlessInstance

_DEADLINE_MS = 1000
_MAX_WAIT_SECONDS = 3.0


@when('the instance of "{name}" sends {form} without end to a waiting caller')
def step_send_endlessly(context: Context, name: str, form: str) -> None:
    async def run_scenario(world: PlatformWorld) -> None:
        def get_health() -> bytes:
            return (
                b"HTTP/1.1 200 OK\r\nserver-load: 0,0,6,100\r\n"
                b"instance-id: i-%s\r\ncontent-length: 0\r\n\r\n"
            ) % name.encode()

        instance = EndlessInstance(form, get_health)
        world.fabric.reset_connections(name, name)
        world.fabric.stop_listening(f"{name}:9")
        async with trio.open_nursery() as nursery:
            network = HostNetwork(world.fabric, name)
            await nursery.start(network.serve, f"{name}:9", instance.handle)
            await trio.sleep(1)
            context.status = 0
            context.truncated = False
            with trio.move_on_after(_MAX_WAIT_SECONDS):
                try:
                    response = await world.send_request(
                        name, "one", deadline_ms=_DEADLINE_MS
                    )
                    context.status = response.status
                except RhubarbpaddleError:
                    context.truncated = True
            context.ended_after = instance.ended_after
            nursery.cancel_scope.cancel()

    run_on_platform(context, run_scenario)


@then(
    "the caller receives 502 and the connection is closed within {seconds:g} s"
)
def step_refused(context: Context, seconds: float) -> None:
    assert context.status == 502, (context.status, context.ended_after)
    assert context.ended_after, "the connection was never closed"
    assert max(context.ended_after) <= seconds, context.ended_after


@then(
    "the caller's response is truncated and the connection is closed within "
    "{seconds:g} s"
)
def step_truncated(context: Context, seconds: float) -> None:
    assert context.truncated or context.status == 502, context.status
    assert context.ended_after, "the connection was never closed"
    assert max(context.ended_after) <= seconds, context.ended_after
