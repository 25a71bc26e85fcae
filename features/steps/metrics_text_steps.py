import re

import trio
from behave import given, then, when
from behave.runner import Context

from rhubarbpaddle.telemetry import Metrics

_NAME = "[a-zA-Z_][a-zA-Z0-9_]*"
_LABEL = rf'{_NAME}="(?:[^"\\\n]|\\["\\n])*"'
_NUMBER = r"(?:[+-]Inf|NaN|-?[0-9]+(?:\.[0-9]+)?(?:e[+-]?[0-9]+)?)"
_LINE = re.compile(
    rf"# HELP {_NAME} .*|# TYPE {_NAME} (?:counter|gauge|histogram)"
    rf"|{_NAME}\{{(?:{_LABEL}(?:,{_LABEL})*)?\}} {_NUMBER}"
)
_SCOPE_LABELS = re.compile(r'otel_scope_[a-z_]+="[^"]*",')
_ORGANISATION = 'a"b\\c\nd'
_ESCAPED_ORGANISATION = r"a\"b\\c\nd"


@given(
    "a request of an organisation whose name contains a quote, a backslash and"
    " a line break"
)
def step_record_requests(context: Context) -> None:
    context.metrics = Metrics()
    for seconds in (0.25, 30):
        context.metrics.record_request(_ORGANISATION, "lanes", 200, seconds)
    context.metrics.record_probe("lanes", "load", "ok", 0.5)
    context.metrics.record_reported_load("lanes", 3)


@when("the metrics are rendered")
def step_render_metrics(context: Context) -> None:
    text = trio.run(context.metrics.render).decode()
    assert text.endswith("\n")
    context.lines = text[:-1].split("\n")


@then("every line follows the text format")
def step_lines_valid(context: Context) -> None:
    assert context.lines
    invalid = [line for line in context.lines if not _LINE.fullmatch(line)]
    assert not invalid, invalid


@then("the metrics contain these lines without the scope's labels")
def step_contains_lines(context: Context) -> None:
    lines = {_SCOPE_LABELS.sub("", line) for line in context.lines}
    for row in context.table:
        line = row["line"].replace("ESCAPED", _ESCAPED_ORGANISATION)
        assert line in lines, (line, lines)


@given("a request that a node recorded before its first scrape")
def step_record_before_scrape(context: Context) -> None:
    context.metrics = Metrics()
    context.metrics.record_request("other", "lanes", 200, 0.25)
    context.metrics.record_refusal("lanes", "busy", "not-run")


@when("the metrics are rendered, and another request and refusal follow")
def step_render_then_record(context: Context) -> None:
    trio.run(context.metrics.render)
    context.metrics.record_request("other", "lanes", 200, 0.25)
    context.metrics.record_refusal("lanes", "busy", "not-run")
    step_render_metrics(context)


@given("a node that records {count:d} requests and isn't scraped")
def step_record_many(context: Context, count: int) -> None:
    context.metrics = Metrics()

    async def record() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.metrics.run)
            for _ in range(count):
                context.metrics.record_request("other", "lanes", 200, 0.25)

    trio.run(record)


@given("a request of an organisation whose name holds a lone surrogate")
def step_record_surrogate(context: Context) -> None:
    context.metrics = Metrics()
    context.metrics.record_request("v1-\ud83d", "lanes", 200, 0.25)
