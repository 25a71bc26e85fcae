from collections.abc import Callable, Iterator
from unittest import mock

import trio
from behave import given, then, when
from behave.runner import Context

from features.support.zone_instance import SERVICE
from features.support.zone_world import ZoneGateway, ZoneWorld, run_zone_world
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Request
from rhubarbpaddle.execution.instance_choice import InstanceChoice
from rhubarbpaddle.execution.instance_chooser import InstanceChooser
from rhubarbpaddle.execution.route_attempt_history import RouteAttemptHistory
from rhubarbpaddle.execution.version_policy import VersionPolicy
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import MemberStatus, UpstreamState
from rhubarbpaddle.routing.instance_router import InstanceRouter

# A chooser that doesn't end is stopped here.
_MAX_ATTEMPTS = 20


def _refuse_attempts(
    chooser: InstanceChooser,
    request: Request,
    get_refusal: Callable[[InstanceChoice], tuple[str, float]],
) -> Iterator[InstanceChoice]:
    """Yields the choices for a request whose attempts are all refused.

    Args:
        chooser: The chooser.
        request: The request.
        get_refusal: Returns the code of a refusal and the wait that it reports.
    """
    history = RouteAttemptHistory(request.service)
    while choice := chooser.choose(request, history):
        yield choice
        assert history.sent < _MAX_ATTEMPTS
        code, wait = get_refusal(choice)
        exc = RefusedError(
            code,
            "-",
            step="admit",
            may_retry=True,
            report=LoadReport(6, 1, 4, UpstreamState.WARM),
            expected_wait=wait,
        )
        node_id = choice.candidate.node_id
        history.record_failure(node_id, exc, choice.may_queue)
        chooser.observe_refusal(choice, history, exc, 0.001)


def _collect(
    context: Context,
    get_refusal: Callable[[InstanceChoice], tuple[str, float]],
    get_chooser: Callable[[ZoneGateway], InstanceChooser] = (
        lambda gateway: gateway.chooser
    ),
    target_seconds: float = 0.5,
    large: bool = False,
) -> None:
    """Collects the choices of a gateway of the first zone."""

    async def scenario(world: ZoneWorld) -> None:
        now = trio.current_time()
        request = Request(
            "r",
            "",
            SERVICE,
            "GET",
            "/",
            [],
            now + 2,
            True,
            route="r",
            useful_until=now + target_seconds,
            large_response=large,
        )
        chooser = get_chooser(world.gateways[0])
        context.choices = [*_refuse_attempts(chooser, request, get_refusal)]

    run_zone_world(scenario, context.zone_names)


@given('a canary instance "{name}"')
def step_canary(context: Context, name: str) -> None:
    context.canary = name


@when("it refuses a request as full with a shorter wait than the others")
def step_canary_refuses(context: Context) -> None:
    canary = context.canary
    others = {f"a{number}" for number in range(3)} - {canary}
    versions = mock.create_autospec(VersionPolicy, instance=True)
    versions.get_excluded.return_value = frozenset({canary})
    versions.get_canary_excluded.return_value = frozenset(others)

    def make_chooser(gateway: ZoneGateway) -> InstanceChooser:
        router = InstanceRouter(
            gateway.table,
            mock.Mock(monotonic=trio.current_time),
            mock.Mock(random=lambda: 0.5),
            lambda zone: True,
            versions.get_excluded,
        )
        return InstanceChooser(
            router,
            gateway.spillover,
            mock.Mock(),
            mock.Mock(monotonic=trio.current_time),
            versions,
        )

    _collect(
        context,
        lambda choice: (
            "instance_full",
            0.01 if choice.candidate.node_id == canary else 0.3,
        ),
        make_chooser,
    )


@then("the request queues at the others, and is sent to the canary once")
def step_not_queued_at_canary(context: Context) -> None:
    names = [choice.candidate.node_id for choice in context.choices]
    assert names.count(context.canary) == 1, context.choices
    assert any(choice.may_queue for choice in context.choices)


@when(
    'the instances of zone "{zone}" refuse a request that has missed its target'
)
def step_late_request(context: Context, zone: str) -> None:
    _collect(context, lambda _: ("instance_full", 3.0), target_seconds=-0.1)


@then(
    'the request queues in zone "{zone}" {count:d} times and then in zone'
    ' "{other}"'
)
def step_last_queue(
    context: Context, zone: str, count: int, other: str
) -> None:
    zones = [
        choice.candidate.availability_zone
        for choice in context.choices
        if choice.may_queue
    ]
    assert zones == [*[zone] * count, other], zones


@when('two instances of zone "{zone}" refuse a request for a large response')
def step_large_request(context: Context, zone: str) -> None:
    _collect(context, lambda _: ("instance_full", 1.0), large=True)


@then('the next attempt is at the third instance of zone "{zone}"')
def step_third_instance(context: Context, zone: str) -> None:
    names = [choice.candidate.node_id for choice in context.choices]
    assert {*names[:3]} == {f"{zone}{number}" for number in range(3)}, names


@when('zone "{full}" is full and the nodes of zone "{gone}" are out of service')
def step_gone_zone(context: Context, full: str, gone: str) -> None:
    _collect(
        context,
        lambda choice: (
            ("zone_out_of_service", 0.0)
            if choice.candidate.availability_zone == gone
            else ("instance_full", 0.3)
        ),
    )


@then('at most {count:d} attempt is sent to zone "{zone}"')
def step_attempts(context: Context, count: int, zone: str) -> None:
    zones = [choice.candidate.availability_zone for choice in context.choices]
    assert zones.count(zone) <= count, zones
    assert len({*zones}) > 1, zones


@when(
    'all instances of zone "{zone}" are suspected and those of zone "{other}"'
    " refuse a {kind} response"
)
def step_suspected(context: Context, zone: str, other: str, kind: str) -> None:
    def suspect(gateway: ZoneGateway) -> InstanceChooser:
        for member in [*gateway.table]:
            if member.availability_zone == zone and member.upstream:
                gateway.table.merge(
                    member._replace(status=MemberStatus.SUSPECT)
                )
        return gateway.chooser

    _collect(
        context,
        lambda _: ("instance_full", 0.3),
        suspect,
        large=kind == "large",
    )


@then('the request queues in zone "{zone}" without a mark')
def step_no_mark(context: Context, zone: str) -> None:
    queued = [
        choice
        for choice in context.choices
        if choice.may_queue and choice.candidate.availability_zone == zone
    ]
    assert len(queued) > 1, context.choices
    assert not any(choice.reason.yields for choice in queued), queued
