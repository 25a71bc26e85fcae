import os
import re

import logbook
from behave import then, when
from behave.runner import Context

from rhubarbpaddle.telemetry.rate_limited_handler import RateLimitedHandler

_DROPPED = re.compile(r" dropped=(\d+)")


def _open(context: Context) -> RateLimitedHandler:
    context.reader, writer = os.pipe()
    os.set_blocking(context.reader, False)
    context.handler = RateLimitedHandler(writer, "INFO", "{record.message}")
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    return context.handler


def _write(
    handler: RateLimitedHandler, level: int, count: int, text: str
) -> None:
    for _ in range(count):
        handler.emit(logbook.LogRecord("test", level, text))


def _read(context: Context) -> list[str]:
    data = b""
    while True:
        try:
            part = os.read(context.reader, 1 << 20)
        except BlockingIOError:
            return data.decode().splitlines()
        data += part


@when("{count:d} lines of normal operation are written at once")
def step_flood(context: Context, count: int) -> None:
    _write(_open(context), logbook.INFO, count, "usual")
    context.lines = _read(context)
    context.count = count


@then("at most {count:d} lines come out")
def step_bounded(context: Context, count: int) -> None:
    assert 0 < len(context.lines) <= count, len(context.lines)


@then("the next warning tells how many were dropped")
def step_counted(context: Context) -> None:
    _write(context.handler, logbook.WARNING, 1, "later")
    (last,) = _read(context)
    assert _DROPPED.search(last), last
    # Lines that came out in between have told of a part of them.
    told = _DROPPED.findall("\n".join([*context.lines, last]))
    assert sum(map(int, told)) == context.count - len(context.lines)


@when(
    "{count:d} lines of normal operation and then {notices:d} notices are "
    "written"
)
def step_notices(context: Context, count: int, notices: int) -> None:
    handler = _open(context)
    _write(handler, logbook.INFO, count, "usual")
    _write(handler, logbook.NOTICE, notices, "failure")
    context.lines = _read(context)


@then("all {count:d} notices come out")
def step_all_notices(context: Context, count: int) -> None:
    found = [line for line in context.lines if line.startswith("failure")]
    assert len(found) == count, len(found)


@when("{count:d} warnings are written to a pipe that nobody reads")
def step_unread(context: Context, count: int) -> None:
    handler = _open(context)
    _write(handler, logbook.WARNING, count, "w" * 100)
    context.dropped = handler.dropped


@then("writing them ends, and a later line tells of those that were dropped")
def step_unread_counted(context: Context) -> None:
    assert context.dropped > 0
    _read(context)
    _write(context.handler, logbook.WARNING, 1, "later")
    (line,) = _read(context)
    found = _DROPPED.search(line)
    assert found is not None and int(found[1]) == context.dropped, line


@when("{count:d} notices of one event and then 1 of another are written")
def step_rare(context: Context, count: int) -> None:
    handler = _open(context)
    _write(handler, logbook.NOTICE, count, "event=frequent request_id=a")
    _write(handler, logbook.NOTICE, 1, "event=rare request_id=b")
    context.lines = _read(context)


@then("the notice of the other event comes out")
def step_rare_written(context: Context) -> None:
    assert context.lines[-1].startswith("event=rare"), context.lines[-1]
