from collections.abc import Callable

from behave import given, then
from behave.runner import Context

from soak.oracle import Oracle
from soak.records import Fault, Run, SentRequest

_DEADLINE = 1.5
_COLD_BOUND = 12.0
_GOOD = SentRequest(
    request_id="one",
    host="h0",
    idempotent=False,
    is_current=False,
    sent_at=10.0,
    ended_at=10.1,
    status=200,
    body=b"one",
    is_signed=True,
)
_RUN = Run("one", "h0", "i-1", 10.05, False)

History = tuple[list[SentRequest], list[Run]]


def _cold_herd() -> History:
    ids = [f"r{index}" for index in range(13)]
    sent = [_GOOD._replace(request_id=name, body=name.encode()) for name in ids]
    return sent, [_RUN._replace(request_id=name, is_cold=True) for name in ids]


_HISTORIES: dict[str, Callable[[], History]] = {
    "all is well": lambda: ([_GOOD], [_RUN]),
    "an instance runs what nobody has sent": lambda: (
        [_GOOD],
        [_RUN, _RUN._replace(request_id="other")],
    ),
    "a booking runs twice": lambda: ([_GOOD], [_RUN, _RUN]),
    "a booking is refused with 503 and has run": lambda: (
        [_GOOD._replace(status=503)],
        [_RUN],
    ),
    "a caller gets the body of another request": lambda: (
        [_GOOD._replace(body=b"two")],
        [_RUN],
    ),
    "a caller gets 200 without a signature": lambda: (
        [_GOOD._replace(is_signed=False)],
        [_RUN],
    ),
    "a lasting path gets 404": lambda: ([_GOOD._replace(status=404)], []),
    "an answer comes a second after the deadline": lambda: (
        [_GOOD._replace(ended_at=12.5)],
        [_RUN],
    ),
    "a request that runs is cut": lambda: ([_GOOD._replace(status=0)], [_RUN]),
    "a request starts a second after its caller has left": lambda: (
        [_GOOD._replace(status=0, has_left=True)],
        [_RUN._replace(started_at=11.1)],
    ),
    "a request starts 0.4 s after its caller has left": lambda: (
        [_GOOD._replace(status=0, has_left=True)],
        [_RUN._replace(started_at=10.5)],
    ),
    "an instance runs a request after its departure": lambda: (
        [_GOOD],
        [_RUN._replace(instance="i-left")],
    ),
    "an instance of a withdrawn zone runs a request": lambda: (
        [_GOOD],
        [_RUN._replace(host="h-withdrawn")],
    ),
    "a cold instance gets 13 requests in a second": _cold_herd,
}


@given("a history in which {what} during a crash")
def step_excused(context: Context, what: str) -> None:
    context.history = _HISTORIES[what]()
    context.faults = [Fault("crash_instance", "h0", 9.0, 10.0, False)]


@given("a history in which {what}")
def step_history(context: Context, what: str) -> None:
    context.history = _HISTORIES[what]()
    context.faults = [Fault("stop_node", "h0", 9.0, 10.0, True)]


def _get_rules(context: Context) -> set[str]:
    sent, runs = context.history
    oracle = Oracle(sent, runs, context.faults, _DEADLINE)
    broken = oracle.iter_violations(
        {"i-left": 10.0},
        [("b", 10.0, 11.0)],
        {"h0": "a", "h-withdrawn": "b"},
        _COLD_BOUND,
    )
    return {line.split()[0] for line in broken}


@then('the oracle reports "{rule}" only')
def step_reports(context: Context, rule: str) -> None:
    assert _get_rules(context) == {rule}, _get_rules(context)


@then("the oracle reports nothing")
def step_reports_nothing(context: Context) -> None:
    assert not _get_rules(context), _get_rules(context)
