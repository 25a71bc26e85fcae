import signal
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from demo.process_group import ProcessGroup
from features.support.process_world import (
    ProcessAnswer,
    ProcessWorld,
    exchange,
    make_key,
)

_CALLERS = 6
# A node is replaced within this time: 2 s of silence, 2 s to refute, and slack.
_TAKEOVER_SECONDS = 5.0
_PAUSE_SECONDS = 6.0


@given("three nodes whose upstreams work for {work_ms:d} ms")
def step_start(context: Context, work_ms: int) -> None:
    folder = tempfile.TemporaryDirectory(prefix="rhubarbpaddle-")
    context.add_cleanup(folder.cleanup)
    group = ProcessGroup(Path(folder.name))
    context.add_cleanup(group.kill_all)
    context.world = ProcessWorld(group, Path(folder.name))
    context.world.start(work_ms)


@when("a node gets SIGTERM while callers send requests through all nodes")
def step_term(context: Context) -> None:
    world: ProcessWorld = context.world
    context.answers = []
    stopped = threading.Event()

    def call(number: int) -> None:
        names = ["a", "b", "c"]
        name = names[number % 3]
        conn = world.connect(name)
        index = 0
        while not stopped.is_set():
            index += 1
            target = f"/{number}/{index}"
            method, key = ("POST", make_key()) if index % 2 else ("GET", "")
            answer = exchange(conn, method, target, key)
            context.answers.append((name, method, target, answer))
            if answer.headers.get("connection") == "close":
                conn.close()
                name = "a" if name == "b" else "c"
                conn = world.connect(name)
        conn.close()

    with ThreadPoolExecutor(_CALLERS) as pool:
        calls = [pool.submit(call, number) for number in range(_CALLERS)]
        try:
            time.sleep(1)
            world.signal("b", signal.SIGTERM)
            process = world.get_process("b")
            context.exit_code = world.group.wait(process, 10)
            time.sleep(1)
        finally:
            stopped.set()
    for future in calls:
        future.result()


@then("every request is answered, no request runs twice, and it exits with 0")
def step_uncut(context: Context) -> None:
    failed = [entry for entry in context.answers if entry[3].status != 200]
    assert not failed, failed
    assert len(context.answers) > 100, len(context.answers)
    runs = context.world.get_all_runs()
    posts = [
        f"POST {entry[2]}" for entry in context.answers if entry[1] != "GET"
    ]
    assert all(runs[post] == 1 for post in posts)
    assert context.exit_code == 0, context.exit_code


@when("a node that serves a request gets SIGTERM twice")
def step_twice(context: Context) -> None:
    world: ProcessWorld = context.world
    with ThreadPoolExecutor(1) as pool:
        # The upstream works for 1.5 s, so the request outlasts both signals.
        pool.submit(world.send, "b", "GET", "/long")
        time.sleep(0.5)
        world.signal("b", signal.SIGTERM)
        time.sleep(0.5)
        world.signal("b", signal.SIGTERM)
        started = time.monotonic()
        context.exit_code = world.group.wait(world.get_process("b"), 10)
        context.took = time.monotonic() - started


@then("it exits with 75 within 1 s of the second")
def step_forced(context: Context) -> None:
    assert context.exit_code == 75, context.exit_code
    assert context.took < 1, context.took


@when("a node gets SIGKILL during a keyed request that is sent again elsewhere")
def step_kill(context: Context) -> None:
    world: ProcessWorld = context.world
    key = make_key()
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(world.send, "a", "POST", "/hold", key)
        time.sleep(0.7)
        world.signal("a", signal.SIGKILL)
        again: list[ProcessAnswer] = []
        until = time.monotonic() + 4
        while time.monotonic() < until:
            again.append(world.send("b", "POST", "/hold", key))
            time.sleep(0.3)
    context.first, context.again = first.result(), again


@then("the request ran once")
def step_once(context: Context) -> None:
    assert context.first.status == 0, context.first
    runs = context.world.get_all_runs()["POST /hold"]
    statuses = Counter(answer.status for answer in context.again)
    assert runs == 1, (runs, statuses)
    assert statuses[0] == 0, statuses


@when("a node is paused for 6 s while keyed requests go on elsewhere")
def step_pause(context: Context) -> None:
    world: ProcessWorld = context.world
    context.answers = []
    stopped = threading.Event()

    def call(number: int) -> None:
        index = 0
        while not stopped.is_set():
            index += 1
            target = f"/{number}/{index}"
            sent = time.monotonic()
            answer = world.send("ac"[number % 2], "POST", target, make_key())
            context.answers.append((sent, target, answer))
            time.sleep(0.02)

    with ThreadPoolExecutor(_CALLERS) as pool:
        calls = [pool.submit(call, number) for number in range(_CALLERS)]
        try:
            time.sleep(0.5)
            world.signal("b", signal.SIGSTOP)
            try:
                context.paused = time.monotonic()
                time.sleep(_PAUSE_SECONDS)
            finally:
                world.signal("b", signal.SIGCONT)
            time.sleep(1.5)
        finally:
            stopped.set()
    for future in calls:
        future.result()


@then("each ran at most once, and all were answered after 5 s of the pause")
def step_paused(context: Context) -> None:
    runs = context.world.get_all_runs()
    repeated = [t for _, t, _ in context.answers if runs[f"POST {t}"] > 1]
    assert not repeated, repeated
    taken_over = context.paused + _TAKEOVER_SECONDS
    resumed = context.paused + _PAUSE_SECONDS
    late = [
        answer
        for sent, _, answer in context.answers
        if taken_over < sent < resumed
    ]
    failed = [answer for answer in late if answer.status != 200]
    assert late and not failed, (len(late), failed)
    refused = [
        target
        for _, target, answer in context.answers
        if answer.headers.get("rhubarbpaddle-outcome") == "not-run"
        and runs[f"POST {target}"]
    ]
    assert not refused, refused


@when("the log is killed and starts again without its records")
def step_lose_log(context: Context) -> None:
    world: ProcessWorld = context.world
    context.version = world.get_version("a")
    context.key = make_key()
    context.before = world.send("a", "POST", "/before", context.key)
    world.signal("log", signal.SIGKILL)
    world.group.wait("log", 5)
    context.gets = []
    context.keyed = []

    def observe(posts: Callable[[int], ProcessAnswer]) -> list[ProcessAnswer]:
        found = []
        for index in range(20):
            name = "abc"[index % 3]
            context.gets.append(world.send(name, "GET", "/during"))
            found.append(posts(index))
            time.sleep(0.1)
        return found

    def post(index: int) -> ProcessAnswer:
        name = "abc"[index % 3]
        return world.send(name, "POST", f"/keyed/{index}", make_key())

    def repeat(index: int) -> ProcessAnswer:
        return world.send("abc"[index % 3], "POST", "/before", context.key)

    context.without_log = observe(post)
    world.start_log()
    context.repeated = observe(repeat)
    context.versions = [world.get_version(name) for name in world.nodes]


@then("idempotent requests went on and the configuration stayed in force")
def step_went_on(context: Context) -> None:
    assert {answer.status for answer in context.gets} == {200}, context.gets
    assert context.version > 0
    assert context.versions == [context.version] * 3, context.versions


@then("keyed requests ran at most once and were refused without the log")
def step_keyed(context: Context) -> None:
    assert context.before.status == 200, context.before
    runs = context.world.get_all_runs()
    assert runs["POST /before"] == 1, (runs, context.repeated)
    for index, answer in enumerate(context.without_log):
        outcome = answer.headers.get("rhubarbpaddle-outcome")
        assert outcome in ("not-run", "unknown"), answer
        assert runs[f"POST /keyed/{index}"] == 0
