import trio
from behave import given, then, when
from behave.runner import Context

from features.support.platform_world import (
    PlatformResponse,
    PlatformWorld,
    make_configuration,
    run_platform_world,
)

_CONTENT = b"odd content"
_FIELDS = b"\r\nserver-signature: s\r\ncontent-length: %d\r\n\r\n%b" % (
    len(_CONTENT),
    _CONTENT,
)
# What makes a health check succeed.
_HEALTH_FIELDS = b"\r\ninstance-id: i-h1\r\nserver-load: 0,0,6,100"


def _make_response(form: str, fields: bytes) -> bytes:
    """Returns a response with a status line, perhaps behind an interim one."""
    line = form.removeprefix("an interim ").removesuffix(" before a response")
    if line != form:
        interim = line.encode() + b"\r\n\r\n"
        return interim + b"HTTP/1.1 200 OK" + fields
    return line.encode() + fields


@given("two hosts whose instances respond with {form}")
def step_odd_instances(context: Context, form: str) -> None:
    context.garbage = _make_response(form, _FIELDS)


@when("callers of both send GET and POST requests")
def step_send_to_odd(context: Context) -> None:
    async def scenario(world: PlatformWorld) -> list[PlatformResponse]:
        await world.start_store(make_configuration())
        await world.start_serving("h1", "h2")
        for instance in world.instances.values():
            instance.garbage = context.garbage
        return [
            await world.send_request(host, f"{host}-{method}", method=method)
            for host in ("h1", "h2")
            for method in ("GET", "POST", "GET", "POST")
        ]

    context.responses = run_platform_world(scenario)


@then("each of them gets 502 without the instance's body")
def step_check_502(context: Context) -> None:
    assert len(context.responses) == 8
    for response in context.responses:
        assert response.status == 502, response.status
        assert "server-signature" not in response.headers
        assert _CONTENT not in response.body


@given("a node whose instance responds to health checks with {form}")
def step_odd_checks(context: Context, form: str) -> None:
    context.garbage = _make_response(form, _HEALTH_FIELDS + _FIELDS)


@when("it has run for {seconds:g} seconds without a report")
def step_run_unreported(context: Context, seconds: float) -> None:
    async def scenario(world: PlatformWorld) -> None:
        await world.start_store(make_configuration())
        instance = await world.start_host("h1")
        instance.garbage = context.garbage
        instance.garbles_checks = True
        await trio.sleep(seconds)
        context.checks = instance.checks
        context.attached = world.nodes["h1"].instance_proxy.attached

    run_platform_world(scenario)


@then("no instance is attached")
def step_check_unattached(context: Context) -> None:
    assert context.checks > 0
    assert context.attached is None, context.attached
