import contextlib
import json
import random
from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from features.support.history_machine import make_text
from features.support.log_run import run_with_log
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.cli.publish_outcome import PublishOutcome
from rhubarbpaddle.cli.publish_result import PublishResult
from rhubarbpaddle.cli.publisher import Publisher
from rhubarbpaddle.configuration.configuration_history import (
    ConfigurationHistory,
)
from rhubarbpaddle.configuration.records import parse_record
from rhubarbpaddle.exceptions import LogUnavailableError
from rhubarbpaddle.log import HttpLogClient
from standins.http_server import StandinRequest, StandinResponse
from standins.log_server import LogServer

_RETRY_TIMEOUT = timedelta(seconds=10)


def make_publisher(log: HttpLogClient, name: str) -> Publisher:
    return Publisher(log, VirtualClock(), random.Random(name), _RETRY_TIMEOUT)


def replay_history(log: LogServer) -> ConfigurationHistory:
    history = ConfigurationHistory()
    for offset, payload in enumerate(log.streams["configuration"].records):
        history.apply(offset, parse_record(payload))
    return history


@given("a log that loses the next {count:d} responses to appends")
def step_lose_responses(context: Context, count: int) -> None:
    context.log = LogServer()
    context.log.lost_answers = count
    context.handler = context.log.handle


@given("a log that refuses connections")
def step_refuse_connections(context: Context) -> None:
    context.log = LogServer()
    context.handler = None


@given("a log that loses the next 1 responses to appends and then fails")
def step_fail_log(context: Context) -> None:
    context.log = LogServer()
    context.log.lost_answers = 1

    async def handle(request: StandinRequest) -> StandinResponse:
        response = await context.log.handle(request)
        if request.method == "POST":
            context.log.available = False
        return response

    context.handler = handle


@given("a log that another operator appends to first on base 0")
def step_append_other(context: Context) -> None:
    context.log = LogServer()

    async def handle(request: StandinRequest) -> StandinResponse:
        if request.method == "POST":
            document = json.loads(request.body)
            document |= {"id": "other-id", "publisher": "other"}
            context.log.streams["configuration"].append(
                json.dumps(document).encode()
            )
        return await context.log.handle(request)

    context.handler = handle


@when("an operator publishes a configuration")
def step_publish(context: Context) -> None:
    async def run(log: HttpLogClient) -> PublishResult | LogUnavailableError:
        publisher = make_publisher(log, "operator")
        try:
            await publisher.read()
            return await publisher.publish(make_text(1), 0, "me")
        except LogUnavailableError as exc:
            return exc

    context.result = run_with_log(context.handler, run)


@then('the publication is "{outcome}"')
def step_check_outcome(context: Context, outcome: str) -> None:
    assert context.result.outcome.value == outcome, context.result


@then('the publication is rejected in favour of that of "{publisher}"')
def step_check_rejected(context: Context, publisher: str) -> None:
    step_check_outcome(context, "lost")
    accepted = context.result.accepted
    assert (accepted.publisher, accepted.id) == (publisher, "other-id")
    assert (accepted.version, accepted.offset) == (1, 0)


@then("the configuration is in force as version {version:d}")
def step_check_version(context: Context, version: int) -> None:
    history = replay_history(context.log)
    assert history.version == version
    assert history.accepted.text == make_text(1)


@then("nothing was published because the log is unavailable")
def step_check_unpublished(context: Context) -> None:
    assert isinstance(context.result, LogUnavailableError)
    assert not context.log.streams["configuration"].records


@then("the results of concurrent publishers match a replay of the log")
def step_check_concurrent(context: Context) -> None:
    fault_lists = st.lists(
        st.sampled_from(["", "", "", "drop", "lose", "slow", "outage"]),
        max_size=12,
    )

    @settings(max_examples=120)
    @for_any(fault_lists, st.integers(2, 4))
    def check(faults: list[str], count: int) -> None:
        log = LogServer()
        results = publish_concurrently(log, faults, count)
        history = replay_history(log)
        accepted = [
            result
            for result in results
            if result.outcome is PublishOutcome.ACCEPTED
        ]
        assert history.version <= 1
        assert len(accepted) <= 1
        for result in results:
            is_in_force = bool(
                history.origin and history.origin.id == result.id
            )
            if result.outcome is PublishOutcome.ACCEPTED:
                assert is_in_force
            elif result.outcome is PublishOutcome.REJECTED:
                assert not is_in_force
        if not faults:
            assert len(accepted) == 1

    check()


def publish_concurrently(
    log: LogServer, faults: list[str], count: int
) -> list[PublishResult]:
    """Returns the results of publishers whose record may be appended.

    Args:
        log: The log.
        faults: The fault of each request to the log, in order of arrival.
        count: The number of publishers.
    """
    remaining_faults = iter(faults)
    results: list[PublishResult] = []

    async def handle(request: StandinRequest) -> StandinResponse:
        fault = next(remaining_faults, "")
        if fault == "drop":
            return StandinResponse(0, b"")
        if fault == "outage":
            return StandinResponse(503, b"{}")
        response = await log.handle(request)
        if fault == "slow":
            await trio.sleep(5)
        return StandinResponse(0, b"") if fault == "lose" else response

    async def publish(client: HttpLogClient, number: int) -> None:
        publisher = make_publisher(client, f"operator-{number}")
        with contextlib.suppress(LogUnavailableError):
            await publisher.read()
            if not publisher.history.version:
                text = make_text(number)
                results.append(await publisher.publish(text, 0, "me"))

    async def run(client: HttpLogClient) -> None:
        async with trio.open_nursery() as publishers:
            for number in range(count):
                publishers.start_soon(publish, client, number)

    run_with_log(handle, run)
    return results


@given("a log whose records have all expired")
def step_expire_records(context: Context) -> None:
    context.log = LogServer()
    stream = context.log.streams["configuration"]
    for _ in range(5):
        stream.append(b"{}")
    stream.expire(5)


@when("an operator recovers version {version:d} and a response is lost")
def step_recover(context: Context, version: int) -> None:
    async def run(log: HttpLogClient) -> None:
        publisher = make_publisher(log, "operator")
        await publisher.read()
        assert publisher.history.gap
        context.log.lost_answers = 1
        assert await publisher.recover(make_text(1), version)
        reader = make_publisher(log, "reader")
        await reader.read()
        context.version = reader.history.version
        context.result = await reader.publish(make_text(2), version, "me")

    run_with_log(context.log.handle, run)


@then("a new reader starts at version {version:d}")
def step_check_start(context: Context, version: int) -> None:
    assert context.version == version, context.version


@then("the next publication is accepted as version {version:d}")
def step_check_next(context: Context, version: int) -> None:
    assert context.result.outcome is PublishOutcome.ACCEPTED
    assert context.result.accepted.version == version
