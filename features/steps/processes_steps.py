import signal
import socket
import struct
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import trio
from behave import given, then, when
from behave.runner import Context

from demo.process_group import ProcessGroup
from features.support.process_cluster import (
    ProcessCluster,
    ProcessResponse,
    exchange,
    make_key,
)
from standins.upstream import Upstream

_CALLERS = 6
# The claims of an unresponsive node have a new owner within this time: 2 s
# without heartbeats, 2 s to refute the suspicion, and a margin.
_TAKEOVER_SECONDS = 5.0
_PAUSE_SECONDS = 6.0


@given("three nodes whose upstreams work for {work_ms:d} ms")
def step_start_nodes(context: Context, work_ms: int) -> None:
    directory = tempfile.TemporaryDirectory(prefix="rhubarbpaddle-")
    context.add_cleanup(directory.cleanup)
    group = ProcessGroup(Path(directory.name))
    context.add_cleanup(group.kill_all)
    context.cluster = ProcessCluster(group, Path(directory.name))
    context.cluster.start(work_ms)


@when("a node gets SIGTERM while callers send requests through all nodes")
def step_stop_under_load(context: Context) -> None:
    cluster: ProcessCluster = context.cluster
    context.exchanges = []
    stopped = threading.Event()

    def send_requests(caller: int) -> None:
        names = ["a", "b", "c"]
        name = names[caller % 3]
        conn = cluster.connect(name)
        index = 0
        while not stopped.is_set():
            index += 1
            target = f"/{caller}/{index}"
            method, key = ("POST", make_key()) if index % 2 else ("GET", "")
            response = exchange(conn, method, target, key)
            context.exchanges.append((name, method, target, response))
            if response.headers.get("connection") == "close":
                conn.close()
                name = "a" if name == "b" else "c"
                conn = cluster.connect(name)
        conn.close()

    with ThreadPoolExecutor(_CALLERS) as pool:
        futures = [
            pool.submit(send_requests, caller) for caller in range(_CALLERS)
        ]
        try:
            time.sleep(1)
            cluster.signal("b", signal.SIGTERM)
            process = cluster.get_process("b")
            context.exit_code = cluster.group.wait(process, 10)
            time.sleep(1)
        finally:
            stopped.set()
    for future in futures:
        future.result()


@then("every request succeeds, no request runs twice, and it exits with 0")
def step_uninterrupted(context: Context) -> None:
    failed = [entry for entry in context.exchanges if entry[3].status != 200]
    assert not failed, failed
    assert len(context.exchanges) > 100, len(context.exchanges)
    runs = context.cluster.get_all_runs()
    posts = [
        f"POST {entry[2]}" for entry in context.exchanges if entry[1] != "GET"
    ]
    assert all(runs[post] == 1 for post in posts)
    assert context.exit_code == 0, context.exit_code


@when("a node that serves a request gets SIGTERM twice")
def step_signal_twice(context: Context) -> None:
    cluster: ProcessCluster = context.cluster
    with ThreadPoolExecutor(1) as pool:
        # The upstream works for 1.5 s, so the request outlasts both signals.
        pool.submit(cluster.send, "b", "GET", "/long")
        time.sleep(0.5)
        cluster.signal("b", signal.SIGTERM)
        time.sleep(0.5)
        cluster.signal("b", signal.SIGTERM)
        started = time.monotonic()
        context.exit_code = cluster.group.wait(cluster.get_process("b"), 10)
        context.exit_seconds = time.monotonic() - started


@then("it exits with 75 within 1 s of the second signal")
def step_forced_exit(context: Context) -> None:
    assert context.exit_code == 75, context.exit_code
    assert context.exit_seconds < 1, context.exit_seconds


@when("a node gets SIGKILL during a keyed request that is repeated elsewhere")
def step_kill_gateway(context: Context) -> None:
    cluster: ProcessCluster = context.cluster
    key = make_key()
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(cluster.send, "a", "POST", "/hold", key)
        time.sleep(0.7)
        cluster.signal("a", signal.SIGKILL)
        repeated: list[ProcessResponse] = []
        deadline = time.monotonic() + 4
        while time.monotonic() < deadline:
            repeated.append(cluster.send("b", "POST", "/hold", key))
            time.sleep(0.3)
    context.first, context.repeated = first.result(), repeated


@then("the request ran once")
def step_ran_once(context: Context) -> None:
    assert context.first.status == 0, context.first
    runs = context.cluster.get_all_runs()["POST /hold"]
    statuses = Counter(response.status for response in context.repeated)
    assert runs == 1, (runs, statuses)
    assert statuses[0] == 0, statuses


@when("a node is paused for 6 s while other nodes get keyed requests")
def step_pause_node(context: Context) -> None:
    cluster: ProcessCluster = context.cluster
    context.exchanges = []
    stopped = threading.Event()

    def send_requests(caller: int) -> None:
        index = 0
        while not stopped.is_set():
            index += 1
            target = f"/{caller}/{index}"
            sent_at = time.monotonic()
            response = cluster.send(
                "ac"[caller % 2], "POST", target, make_key()
            )
            context.exchanges.append((sent_at, target, response))
            time.sleep(0.02)

    with ThreadPoolExecutor(_CALLERS) as pool:
        futures = [
            pool.submit(send_requests, caller) for caller in range(_CALLERS)
        ]
        try:
            time.sleep(0.5)
            cluster.signal("b", signal.SIGSTOP)
            try:
                context.paused_at = time.monotonic()
                time.sleep(_PAUSE_SECONDS)
            finally:
                cluster.signal("b", signal.SIGCONT)
            time.sleep(1.5)
        finally:
            stopped.set()
    for future in futures:
        future.result()


@then("each ran at most once, and all sent over 5 s into the pause succeeded")
def step_delay_bounded(context: Context) -> None:
    runs = context.cluster.get_all_runs()
    run_twice = [t for _, t, _ in context.exchanges if runs[f"POST {t}"] > 1]
    assert not run_twice, run_twice
    taken_over_at = context.paused_at + _TAKEOVER_SECONDS
    resumed_at = context.paused_at + _PAUSE_SECONDS
    late = [
        response
        for sent_at, _, response in context.exchanges
        if taken_over_at < sent_at < resumed_at
    ]
    failed = [response for response in late if response.status != 200]
    assert late and not failed, (len(late), failed)
    refused_but_run = [
        target
        for _, target, response in context.exchanges
        if response.headers.get("rhubarbpaddle-outcome") == "not-run"
        and runs[f"POST {target}"]
    ]
    assert not refused_but_run, refused_but_run


@when("the log is killed and restarted without its records")
def step_restart_log_empty(context: Context) -> None:
    cluster: ProcessCluster = context.cluster
    context.version = cluster.get_version("a")
    context.key = make_key()
    context.response_before = cluster.send("a", "POST", "/before", context.key)
    cluster.signal("log", signal.SIGKILL)
    cluster.group.wait("log", 5)
    context.get_responses = []
    context.keyed = []

    def send_pairs(
        send_post: Callable[[int], ProcessResponse],
    ) -> list[ProcessResponse]:
        responses = []
        for index in range(20):
            name = "abc"[index % 3]
            context.get_responses.append(cluster.send(name, "GET", "/during"))
            responses.append(send_post(index))
            time.sleep(0.1)
        return responses

    def send_new(index: int) -> ProcessResponse:
        name = "abc"[index % 3]
        return cluster.send(name, "POST", f"/keyed/{index}", make_key())

    def send_repeated(index: int) -> ProcessResponse:
        return cluster.send("abc"[index % 3], "POST", "/before", context.key)

    context.responses_without_log = send_pairs(send_new)
    cluster.start_log()
    context.repeated = send_pairs(send_repeated)
    context.versions = [cluster.get_version(name) for name in cluster.nodes]


@then("idempotent requests succeeded and the configuration stayed in force")
def step_unaffected(context: Context) -> None:
    assert {response.status for response in context.get_responses} == {200}, (
        context.get_responses
    )
    assert context.version > 0
    assert context.versions == [context.version] * 3, context.versions


@then("keyed requests ran at most once and were refused without the log")
def step_keyed_refused(context: Context) -> None:
    assert context.response_before.status == 200, context.response_before
    runs = context.cluster.get_all_runs()
    assert runs["POST /before"] == 1, (runs, context.repeated)
    for index, response in enumerate(context.responses_without_log):
        outcome = response.headers.get("rhubarbpaddle-outcome")
        assert outcome in ("not-run", "unknown"), response
        assert runs[f"POST /keyed/{index}"] == 0


@given("a listener that resets each connection")
def step_resetting_listener(context: Context) -> None:
    context.resets = 0


@when(
    "a stand-in for an upstream announces itself to it for {seconds:d} second"
)
def step_announce_to_resets(context: Context, seconds: int) -> None:
    async def reset(stream: trio.SocketStream) -> None:
        context.resets += 1
        await stream.receive_some(1)
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        stream.socket.close()

    async def run() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        upstream = Upstream("lanes", "u1", 6, 0.0)
        with trio.move_on_after(seconds) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, reset, [listener])
                await upstream.announce(address, "127.0.0.1:1")
        context.still_runs = scope.cancelled_caught

    trio.run(run)


@then("it has tried again and still runs")
def step_check_announcing(context: Context) -> None:
    assert context.resets > 1, context.resets
    assert context.still_runs
