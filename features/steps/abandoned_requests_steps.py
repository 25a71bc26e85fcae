import logbook
import trio
from behave import then, when
from behave.runner import Context

from features.support.host_network import HostNetwork
from features.support.memory_stream import MemoryStream
from features.support.platform_scenario import PlatformScenario, run_on_platform
from features.support.platform_world import PlatformWorld, make_call
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.identity import PeerIdentity

# The id of the request whose caller leaves; `make_call` uses the same one.
ABANDONED_ID = "one"
# One more than the instance has slots.
_CALLERS = 7
_WORK_SECONDS = 0.15
# `StreamWatch` checks the connections 100 ms after the first request started.
_AFTER_CHECK_SECONDS = 0.11


def _make_request(request_id: str) -> bytes:
    return (
        "GET /lanes/x HTTP/1.1\r\nhost: club.example\r\n"
        f"request-id: {request_id}\r\ndeadline-ms: 1000\r\n\r\n"
    ).encode()


async def _send_request(
    world: PlatformWorld, name: str, request_id: str
) -> MemoryStream:
    stream = await world.fabric.connect("caller", f"{name}:2")
    # Unlike `send_all`, this lets no other task run.
    assert stream.outgoing.try_write(_make_request(request_id))
    return stream


def _run_and_record(context: Context, script: PlatformScenario) -> None:
    handler = logbook.TestHandler()
    with handler.applicationbound():
        run_on_platform(context, script)
    context.log = [str(record.message) for record in handler.records]


@when(
    'a caller of "{name}" closes its connection before "{same}" has read the '
    "request"
)
def step_read_late(context: Context, name: str, same: str) -> None:
    async def script(world: PlatformWorld) -> None:
        stream = await _send_request(world, name, ABANDONED_ID)
        stream.outgoing.end()
        stream.incoming.abort()
        await trio.sleep(1)

    _run_and_record(context, script)


@when("a caller leaves while the first instance loses its request")
def step_left_during_attempt(context: Context) -> None:
    async def script(world: PlatformWorld) -> None:
        for instance in world.instances.values():
            instance.disconnect_target = "/lanes/x"
        stream = await _send_request(world, "h1", ABANDONED_ID)
        await trio.sleep(0.02)
        await stream.aclose()
        await trio.sleep(1)

    run_on_platform(context, script)


@when("a caller leaves 40 ms before its request gets a slot")
def step_left_in_queue(context: Context) -> None:
    async def script(world: PlatformWorld) -> None:
        world.instances["h1"].work_seconds = _WORK_SECONDS
        names = [f"r{number}" for number in range(_CALLERS - 1)]
        for name in names:
            await _send_request(world, "h1", name)
        await trio.sleep(0.01)
        stream = await _send_request(world, "h1", ABANDONED_ID)
        await trio.sleep(_AFTER_CHECK_SECONDS - 0.01)
        await stream.aclose()
        await trio.sleep(1)
        context.others = names

    run_on_platform(context, script)


@when("a gateway closes its connection 40 ms before its call gets a slot")
def step_abandoned_in_queue(context: Context) -> None:
    async def script(world: PlatformWorld) -> None:
        node = world.nodes["h1"]
        world.instances["h1"].work_seconds = _WORK_SECONDS
        for number in range(_CALLERS - 1):
            await _send_request(world, "h1", f"r{number}")
        connector = PeerConnector(
            HostNetwork(world.fabric, "h2"),
            PeerIdentity("platform", "h2", 1, b"-"),
        )
        conn = await connector.connect(node.settings.peer_address, "exchange")
        attached = node.instance_proxy.attached
        assert attached is not None
        call = make_call(ABANDONED_ID, attached.summary, node.settings.service)
        await conn.send(call)
        await trio.sleep(_AFTER_CHECK_SECONDS)
        await conn.aclose()
        await trio.sleep(1)

    run_on_platform(context, script)


@when("{count:d} callers leave while another one stays")
def step_one_stays(context: Context, count: int) -> None:
    async def script(world: PlatformWorld) -> None:
        world.instances["h1"].work_seconds = _WORK_SECONDS
        streams = [
            await _send_request(world, "h1", f"r{number}")
            for number in range(count)
        ]

        async def leave() -> None:
            await trio.sleep(0.05)
            for stream in streams:
                await stream.aclose()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(leave)
            context.response = await world.send_request("h1", "stays")

    run_on_platform(context, script)


@then("no instance has run the request of the caller that left")
def step_not_run(context: Context) -> None:
    instances = context.world.instances.values()
    runs = [
        request_id for instance in instances for request_id in instance.runs
    ]
    assert ABANDONED_ID not in runs, runs


@then("the request of the caller that left has run once")
def step_run_once(context: Context) -> None:
    instances = context.world.instances.values()
    runs = [
        request_id for instance in instances for request_id in instance.runs
    ]
    assert runs == [ABANDONED_ID], runs


@then(
    'the log of "{name}" says that the caller had left when the request was '
    "read"
)
def step_logged(context: Context, name: str) -> None:
    expected = f"event=caller_left request_id={ABANDONED_ID} stage=read"
    assert expected in context.log, context.log


@then("the caller that stays gets status 200")
def step_served(context: Context) -> None:
    assert context.response.status == 200, context.response.status
