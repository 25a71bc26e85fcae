import json
from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from trio.testing import MockClock

from features.support.cluster import Cluster
from features.support.history_machine import HistoryMachine, make_text
from features.support.log_run import (
    append_checkpoint,
    append_publication,
    run_with_log,
)
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.configuration_history import (
    ConfigurationHistory,
)
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.log import HttpLogClient
from rhubarbpaddle.node.configuration_reader import ConfigurationReader
from standins.http_server import StandinRequest, StandinResponse
from standins.log_server import LogServer


@then(
    "readers agree despite restarts, truncation, repeated records and adoption"
)
def step_readers_agree(context: Context) -> None:
    machine_settings = settings(max_examples=150, stateful_step_count=40)
    run_state_machine_as_test(HistoryMachine, settings=machine_settings)


@given(
    "a log with {count:d} publications and a checkpoint after {after:d} of them"
)
def step_create_log(context: Context, count: int, after: int) -> None:
    context.log = LogServer()
    context.stream = context.log.streams["configuration"]
    context.history = ConfigurationHistory()
    for number in range(1, count + 1):
        append_publication(context.stream, number)
        if number == after:
            append_checkpoint(context.stream, number, number - 1)


@when("the first {count:d} records expire")
def step_expire_records(context: Context, count: int) -> None:
    context.stream.expire(count)


@when("malformed records are appended")
def step_append_malformed(context: Context) -> None:
    for payload in (
        b"",
        b"\xff",
        b"[" * 5_000,
        b'{"kind": "publication", "base": "3"}',
        b'{"kind": "checkpoint", "version": 9, "as_of": 900, "text": "{}"}',
        b'{"kind": "checkpoint", "version": 0, "as_of": -1, "text": "{}"}',
        b'{"kind": "other"}',
    ):
        context.stream.append(payload)


@when("a new reader follows the log")
def step_follow_log(context: Context) -> None:
    context.history = ConfigurationHistory()
    read_to_end(context, find_start=True)


@when("a reader follows the log up to offset {offset:d}")
def step_follow_log_to_offset(context: Context, offset: int) -> None:
    all_records, context.stream.records = (
        context.stream.records,
        context.stream.records[:offset],
    )
    read_to_end(context, find_start=False)
    context.stream.records = all_records


@when("a new reader adopts version {version:d} from a peer")
def step_adopt_from_peer(context: Context, version: int) -> None:
    text = make_text(version)
    # The checkpoint moves later publications by one offset.
    accepted = AcceptedConfiguration.from_text(version, text, version)
    assert context.history.adopt(accepted)


@then("the reader is unverified at version {version:d}")
def step_unverified(context: Context, version: int) -> None:
    assert context.history.unverified
    assert context.history.version == version


@then("the reader keeps version {version:d} and reports a gap")
def step_keeps_version(context: Context, version: int) -> None:
    context.history.observe_range(
        context.stream.first_offset, context.stream.end_offset
    )
    assert context.history.gap
    assert context.history.version == version


@when("a checkpoint of version {version:d} as of offset {as_of:d} is appended")
def step_append_checkpoint(context: Context, version: int, as_of: int) -> None:
    append_checkpoint(context.stream, version, as_of)


@then(
    "the reader keeps version {version:d} and reports a gap after reading to "
    "the end"
)
def step_keeps_version_at_end(context: Context, version: int) -> None:
    read_to_end(context, find_start=False)
    step_keeps_version(context, version)


@then(
    "the reader does not adopt version {version:d} as of offset {as_of:d} "
    "from a peer"
)
def step_ignores_peer(context: Context, version: int, as_of: int) -> None:
    accepted = AcceptedConfiguration.from_text(version, make_text(1), as_of)
    assert not context.history.adopt(accepted)


@then("the reader has version {version:d} without a gap")
def step_has_version(context: Context, version: int) -> None:
    assert context.history.version == version, context.history.version
    assert not context.history.gap
    assert not context.history.unverified


@then(
    "the reader has version {version:d} without a gap after reading to the end"
)
def step_has_version_at_end(context: Context, version: int) -> None:
    read_to_end(context, find_start=False)
    step_has_version(context, version)


@then("the reader has no configuration and reports a gap")
def step_has_no_configuration(context: Context) -> None:
    assert context.history.accepted is None
    assert context.history.gap


def read_to_end(context: Context, *, find_start: bool) -> None:
    async def read(log: HttpLogClient) -> None:
        reader = ConfigurationReader(log, context.history, lambda: None)
        if find_start:
            await reader.find_start()
        await reader.catch_up()

    run_with_log(context.log.handle, read)


@given(
    "a cluster of size {count:d} with a checkpoint interval of {seconds:d} "
    "seconds"
)
def step_set_up_nodes(context: Context, count: int, seconds: int) -> None:
    context.node_count = count
    context.checkpoint_interval = timedelta(seconds=seconds)


@when("the nodes run for {seconds:d} seconds after a publication")
def step_run_nodes(context: Context, seconds: int) -> None:
    async def run(cluster: Cluster) -> None:
        cluster.publish(json.loads(make_text(0)), base=0)
        await trio.sleep(seconds)
        context.records = cluster.log.streams["configuration"].records

    run_nodes(context, run)


@then("the log contains {count:d} checkpoints")
def step_checkpoint_count(context: Context, count: int) -> None:
    kinds = [json.loads(record)["kind"] for record in context.records]
    assert kinds.count("checkpoint") == count, kinds


@when(
    "the log is down for {seconds:d} seconds and the second node adopts a "
    "peer's configuration"
)
def step_log_outage(context: Context, seconds: int) -> None:
    async def run(cluster: Cluster) -> None:
        first, second = (cluster.nodes[f"node-{i}"] for i in range(2))
        cluster.log.available = False
        await trio.sleep(1)
        assert second.configuration.adopt_text(
            StateVersion(0, 1), make_text(1), 0
        )
        context.state_during_outage = second.configuration.get_state()
        append_publication(cluster.log.streams["configuration"], 1)
        await trio.sleep(seconds)
        cluster.log.available = True
        await trio.sleep(5)
        context.state_after_outage = second.configuration.get_state()
        assert first.configuration.get_version() == 1

    run_nodes(context, run)


@then("the second node reported it as unverified during the outage")
def step_unverified_during_outage(context: Context) -> None:
    assert context.state_during_outage.unverified
    assert context.state_during_outage.version == 1


@then("the second node has verified it 5 seconds after the outage")
def step_verified_after_outage(context: Context) -> None:
    assert context.state_after_outage.version == 1
    assert not context.state_after_outage.unverified, context.state_after_outage
    assert context.state_after_outage.age_seconds <= 5, (
        context.state_after_outage
    )


@when(
    "the log responds to reads at once without records for {seconds:d} seconds"
)
def step_log_without_records(context: Context, seconds: int) -> None:
    document = {"first_offset": 0, "end_offset": 0, "records": []}
    content = json.dumps(document).encode()
    context.read_count = 0
    log = LogServer()

    async def handle(request: StandinRequest) -> StandinResponse:
        if "/configuration?" not in request.target:
            return await log.handle(request)
        context.read_count += 1
        return StandinResponse(200, content)

    async def run(cluster: Cluster) -> None:
        cluster.log.handle = handle
        await trio.sleep(seconds)

    run_nodes(context, run)


@then("the node read the log at most {count:d} times")
def step_read_count(context: Context, count: int) -> None:
    assert 0 < context.read_count <= count, context.read_count


@when("{count:d} publications are made")
def step_publish(context: Context, count: int) -> None:
    async def run(cluster: Cluster) -> None:
        context.delays = []
        for base in range(count):
            await trio.sleep(1.37)
            cluster.publish(json.loads(make_text(base)), base=base)
            start = trio.current_time()
            for node in cluster.nodes.values():
                for _ in range(10_000):
                    if node.configuration.get_version() == base + 1:
                        break
                    await trio.sleep(0.001)
            context.delays.append(trio.current_time() - start)

    run_nodes(context, run)


@then(
    "each is in force on each node within {seconds:g} seconds of virtual time"
)
def step_in_force_within(context: Context, seconds: float) -> None:
    assert max(context.delays) <= seconds, context.delays


def run_nodes(
    context: Context, function: Callable[[Cluster], Awaitable[None]]
) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            await cluster.start_log()
            for index in range(context.node_count):
                await cluster.start_node(
                    f"node-{index}",
                    "zone-0",
                    checkpoint_interval=context.checkpoint_interval,
                )
            with trio.fail_after(100_000):
                await function(cluster)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
