import trio
from behave import given, then, when
from behave.runner import Context

from features.support.deferred_steps import deferred
from features.support.gate_world import GateWorld
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase

_VERSIONS = {"none": "", "unknown": "?"}


@given('a gateway that knows the versions "{versions}"')
@deferred
async def step_gateway(context: Context, versions: str) -> None:
    context.gateway = GateWorld()
    for index, version in enumerate(versions.split()):
        name = _VERSIONS.get(version, version)
        context.gateway.set_instance(f"h{index}", name)
    context.gateway.get_excluded()


@given('order {order:d} for "{target}" is on {phase}')
@when('order {order:d} for "{target}" is on {phase}')
@deferred
async def step_phase(
    context: Context, order: int, target: str, phase: str
) -> None:
    gateway: GateWorld = context.gateway
    gateway.set_phase(order, target, RolloutPhase[phase.upper()])
    gateway.get_excluded()


@when('{seconds:g} s later the instance of "{node_id}" has version "{version}"')
@deferred
async def step_replace(
    context: Context, seconds: float, node_id: str, version: str
) -> None:
    await trio.sleep(seconds)
    context.gateway.set_instance(node_id, version)
    context.gateway.get_excluded()


@when('the instance of "{node_id}" stops')
@deferred
async def step_stop(context: Context, node_id: str) -> None:
    context.gateway.stop_instance(node_id)


@when("the process is paused for {seconds:g} s")
@deferred
async def step_pause(context: Context, seconds: float) -> None:
    assert context.gateway.may_try_target()
    context.gateway.has_link = False
    await trio.sleep(seconds)


@when("a neighbour has sent something")
@deferred
async def step_regain(context: Context) -> None:
    context.gateway.has_link = True


@then("no request goes to the target version")
@deferred
async def step_check_no_target(context: Context) -> None:
    assert not context.gateway.may_try_target()


@then("requests go to the target version again")
@deferred
async def step_check_target(context: Context) -> None:
    assert context.gateway.may_try_target()


@then('the excluded instances are "{names}"')
@then('{seconds:g} s later the excluded instances are "{names}"')
@deferred
async def step_check_excluded(
    context: Context, names: str, seconds: float = 0.0
) -> None:
    await trio.sleep(seconds)
    excluded = context.gateway.get_excluded()
    assert excluded == set(names.split()) - {"none"}, excluded
