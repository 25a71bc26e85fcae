import h11
import trio
from behave import given, then, when
from behave.runner import Context

from features.support.host_network import HostNetwork
from features.support.platform_scenario import run_on_platform
from features.support.platform_world import PlatformWorld, make_configuration
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection

# More than the slots of both instances, so that some requests have to queue.
_CALLERS = 14
_DEADLINE_MS = 4000
_NOT_RUN_STATUS = 503


@given(
    "requests take {work:g} s, and {late_work:g} s if they begin {delay:g} s"
    " after a stop"
)
def step_work(
    context: Context, work: float, late_work: float, delay: float
) -> None:
    context.work_seconds = work
    context.late_work_seconds = late_work
    context.late_delay = delay
    context.configuration = make_configuration(
        kind="non_idempotent", timeoutMs=_DEADLINE_MS
    )


@when('"{name}" is stopped while callers send requests until its process ends')
def step_stop(context: Context, name: str) -> None:
    context.statuses = []

    async def call(world: PlatformWorld, caller: str) -> None:
        """Sends requests on one connection as long as it is open."""
        network = HostNetwork(world.fabric, name)
        number = 0
        while name in world.nodes:
            try:
                stream = await network.connect(f"{name}:2")
            except OSError:
                return
            conn = ClientConnection(stream, name)
            while conn.h11.our_state is h11.IDLE:
                number += 1
                request_id = f"{caller}-{number}"
                context.statuses.append(
                    (request_id, await _exchange(conn, request_id))
                )
            await conn.aclose()
            await trio.sleep(0.05)

    def set_work(world: PlatformWorld, seconds: float) -> None:
        for instance in world.instances.values():
            instance.work_seconds = seconds

    async def slow_down(world: PlatformWorld) -> None:
        await trio.sleep(context.late_delay)
        set_work(world, context.late_work_seconds)

    async def run_scenario(world: PlatformWorld) -> None:
        set_work(world, context.work_seconds)
        async with trio.open_nursery() as nursery:
            for number in range(_CALLERS):
                nursery.start_soon(call, world, f"c{number}")
            await trio.sleep(1)
            nursery.start_soon(slow_down, world)
            context.completed = await world.nodes[name].shut_down()
            await world.stop_node(name)
        context.runs = {
            request_id
            for instance in world.instances.values()
            for request_id in instance.runs
        }

    run_on_platform(context, run_scenario)


async def _exchange(conn: ClientConnection, request_id: str) -> int:
    """Returns the status of the response, or 0 if the connection ended."""
    head = h11.Request(
        method="POST",
        target="/lanes/x",
        headers=[
            ("host", "club.example"),
            ("request-id", request_id),
            ("deadline-ms", str(_DEADLINE_MS)),
            ("content-length", "0"),
        ],
    )
    try:
        await conn.send_request(head, BytesBody(b""))
        response, body = await conn.receive_response()
        while await body.receive():
            pass
    except RhubarbpaddleError:
        return 0
    if conn.is_reusable():
        conn.h11.start_next_cycle()
    return response.status_code


@then(
    'each request that "{name}" has read gets a response, and some are refused'
)
def step_check(context: Context, name: str) -> None:
    assert context.completed
    statuses = [status for _, status in context.statuses]
    assert statuses.count(200) > _CALLERS, statuses
    assert _NOT_RUN_STATUS in statuses, statuses
    for request_id, status in context.statuses:
        has_run = request_id in context.runs
        assert has_run is (status == 200), (request_id, status, has_run)
