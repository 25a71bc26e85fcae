import os
import re

import logbook
from behave import then, when
from behave.runner import Context

from rhubarbpaddle.telemetry.rate_limited_handler import RateLimitedHandler

_DROPPED = re.compile(r" dropped=(\d+)")


def _open_pipe(context: Context) -> RateLimitedHandler:
    context.reader, writer = os.pipe()
    os.set_blocking(context.reader, False)
    context.handler = RateLimitedHandler(writer, "INFO", "{record.message}")
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    return context.handler


def _log(
    handler: RateLimitedHandler, level: int, count: int, text: str
) -> None:
    for _ in range(count):
        handler.emit(logbook.LogRecord("test", level, text))


def _read_lines(context: Context) -> list[str]:
    data = b""
    while True:
        try:
            chunk = os.read(context.reader, 1 << 20)
        except BlockingIOError:
            return data.decode().splitlines()
        data += chunk


@when("{count:d} lines of normal operation are logged at once")
def step_log_lines(context: Context, count: int) -> None:
    _log(_open_pipe(context), logbook.INFO, count, "usual")
    context.lines = _read_lines(context)
    context.count = count


@then("at most {count:d} lines are written")
def step_check_limit(context: Context, count: int) -> None:
    assert 0 < len(context.lines) <= count, len(context.lines)


@then("the next warning reports how many were dropped")
def step_check_dropped(context: Context) -> None:
    _log(context.handler, logbook.WARNING, 1, "later")
    (last,) = _read_lines(context)
    assert _DROPPED.search(last), last
    # Lines written in between have reported some of the dropped ones.
    reported = _DROPPED.findall("\n".join([*context.lines, last]))
    assert sum(map(int, reported)) == context.count - len(context.lines)


@when(
    "{count:d} lines of normal operation and then {notices:d} notices are "
    "logged"
)
def step_log_notices(context: Context, count: int, notices: int) -> None:
    handler = _open_pipe(context)
    _log(handler, logbook.INFO, count, "usual")
    _log(handler, logbook.NOTICE, notices, "failure")
    context.lines = _read_lines(context)


@then("all {count:d} notices are written")
def step_check_notices(context: Context, count: int) -> None:
    found = [line for line in context.lines if line.startswith("failure")]
    assert len(found) == count, len(found)


@when("{count:d} warnings are logged to a pipe that is not read")
def step_log_unread(context: Context, count: int) -> None:
    handler = _open_pipe(context)
    _log(handler, logbook.WARNING, count, "w" * 100)
    context.dropped = handler.dropped


@then("no write blocks and a later line reports the dropped ones")
def step_check_unread(context: Context) -> None:
    assert context.dropped > 0
    _read_lines(context)
    _log(context.handler, logbook.WARNING, 1, "later")
    (line,) = _read_lines(context)
    found = _DROPPED.search(line)
    assert found is not None and int(found[1]) == context.dropped, line


@when("{count:d} notices of one event and then 1 of another are logged")
def step_log_rare(context: Context, count: int) -> None:
    handler = _open_pipe(context)
    _log(handler, logbook.NOTICE, count, "event=frequent request_id=a")
    _log(handler, logbook.NOTICE, 1, "event=rare request_id=b")
    context.lines = _read_lines(context)


@then("the notice of the other event is written")
def step_check_rare(context: Context) -> None:
    assert context.lines[-1].startswith("event=rare"), context.lines[-1]


@when("a warning with a lone surrogate is logged")
def step_log_surrogate(context: Context) -> None:
    _log(_open_pipe(context), logbook.WARNING, 1, "event=odd value=v1-\ud83d")


@then('the line shows it as "{text}"')
def step_check_surrogate(context: Context, text: str) -> None:
    assert _read_lines(context) == [f"event=odd value=v1-{text}"]
