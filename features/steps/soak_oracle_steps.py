import tempfile
from collections.abc import Callable
from pathlib import Path

import logbook
import trio
import trio.testing
from behave import given, then
from behave.runner import Context

from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.exceptions import TruncatedError
from rhubarbpaddle.peer.link_end import LinkEnd
from rhubarbpaddle.peer.link_end_log import LinkEndLog
from soak.fault_effects import FaultEffects
from soak.key_state import KeyState
from soak.link_oracle import LinkOracle
from soak.oracle import Oracle
from soak.organisation_oracle import OrganisationOracle
from soak.records import Fault, Run, SentRequest
from soak.rollout_oracle import RolloutOracle
from soak.rollout_record import RolloutRecord

_DEADLINE_SECONDS = 1.5
_MAX_COLD_PER_SECOND = 12.0
_CAP = 32.0
_ROLLOUT = RolloutRecord(
    "v2",
    is_bad=True,
    ordered_at=10.0,
    deadline=22.0,
    states=("running", "rolled_back"),
    ended_at=20.0,
)
_REQUEST = SentRequest(
    request_id="one",
    host="h0",
    idempotent=False,
    uses_newest_path=False,
    sent_at=10.0,
    ended_at=10.1,
    status=200,
    body=b"one",
    is_signed=True,
)
_RUN = Run("one", "h0", "i-1", 10.05, False)

History = tuple[list[SentRequest], list[Run]]


def _make_cold_burst() -> History:
    ids = [f"r{index}" for index in range(13)]
    sent = [
        _REQUEST._replace(request_id=name, body=name.encode()) for name in ids
    ]
    return sent, [_RUN._replace(request_id=name, is_cold=True) for name in ids]


def _make_exposure() -> History:
    ids = [f"r{index}" for index in range(61)]
    sent = [
        _REQUEST._replace(request_id=name, body=name.encode()) for name in ids
    ]
    return sent, [_RUN._replace(request_id=name, version="v2") for name in ids]


def _make_usage() -> History:
    sent = [
        _REQUEST._replace(
            request_id=f"r{index}",
            body=f"r{index}".encode(),
            organisation="amber",
        )
        for index in range(300)
    ]
    return sent, [
        _RUN._replace(
            request_id=request.request_id,
            organisation="amber",
            started_at=10.0 + index / 100,
        )
        for index, request in enumerate(sent)
    ]


def _make_refused_surge() -> History:
    served = [
        _REQUEST._replace(request_id=f"r{index}", body=f"r{index}".encode())
        for index in range(99)
    ]
    runs = [_RUN._replace(request_id=entry.request_id) for entry in served]
    return [*served, _REQUEST._replace(status=429)], runs


_HISTORIES: dict[str, Callable[[], History]] = {
    "no guarantee is violated": lambda: ([_REQUEST], [_RUN]),
    "an instance runs a request that no caller sent": lambda: (
        [_REQUEST],
        [_RUN, _RUN._replace(request_id="other")],
    ),
    "a non-idempotent request runs twice": lambda: ([_REQUEST], [_RUN, _RUN]),
    "a non-idempotent request gets 503 but has run": lambda: (
        [_REQUEST._replace(status=503)],
        [_RUN],
    ),
    "a caller gets the body of another request": lambda: (
        [_REQUEST._replace(body=b"two")],
        [_RUN],
    ),
    "a caller gets 200 without a signature": lambda: (
        [_REQUEST._replace(is_signed=False)],
        [_RUN],
    ),
    "a path of every configuration gets 404": lambda: (
        [_REQUEST._replace(status=404)],
        [],
    ),
    "the newest path gets 404": lambda: (
        [_REQUEST._replace(status=404, uses_newest_path=True)],
        [],
    ),
    "a response arrives a second after the deadline": lambda: (
        [_REQUEST._replace(ended_at=12.5)],
        [_RUN],
    ),
    "a request runs but gets no response": lambda: (
        [_REQUEST._replace(status=0)],
        [_RUN],
    ),
    "a run starts a second after its caller disconnected": lambda: (
        [_REQUEST._replace(status=0, is_abandoned=True)],
        [_RUN._replace(started_at=11.1)],
    ),
    "a run starts 0.4 s after its caller disconnected": lambda: (
        [_REQUEST._replace(status=0, is_abandoned=True)],
        [_RUN._replace(started_at=10.5)],
    ),
    "an instance runs a request after its departure": lambda: (
        [_REQUEST],
        [_RUN._replace(instance="i-departed")],
    ),
    "an instance of a withdrawn zone runs a request": lambda: (
        [_REQUEST],
        [_RUN._replace(host="h-withdrawn")],
    ),
    "a cold instance gets 13 requests in a second": _make_cold_burst,
    "an instance receives a key": lambda: (
        [_REQUEST],
        [_RUN._replace(has_key=True)],
    ),
    "a request runs for another organisation": lambda: (
        [_REQUEST._replace(organisation="amber")],
        [_RUN._replace(organisation="birch")],
    ),
    "a request with an unknown key runs": lambda: (
        [_REQUEST._replace(key_state=KeyState.UNKNOWN)],
        [_RUN],
    ),
    "a request with a withdrawn key runs": lambda: (
        [_REQUEST._replace(key_state=KeyState.WITHDRAWN)],
        [_RUN],
    ),
    "the target version runs a request before the order": lambda: (
        [_REQUEST],
        [_RUN._replace(version="v2", started_at=9.5)],
    ),
    "the target version runs a request after its roll-back": lambda: (
        [_REQUEST],
        [_RUN._replace(version="v2", started_at=21.0)],
    ),
    "a bad version runs 61 of 61 requests": _make_exposure,
    "a known key gets 401": lambda: ([_REQUEST._replace(status=401)], []),
    "a large response is cut off without an error": lambda: (
        [_REQUEST._replace(large_length=100_000, body=b"one\n" * 1000)],
        [_RUN],
    ),
    "an organisation runs 300 requests in 5 s": _make_usage,
    "an organisation with one request gets 429": lambda: (
        [_REQUEST._replace(status=429)],
        [],
    ),
    "the last of 100 requests at once gets 429": _make_refused_surge,
}


@given("a history in which {event} during a crash")
def step_history_during_crash(context: Context, event: str) -> None:
    context.history = _HISTORIES[event]()
    context.faults = [Fault("crash_instance", "h0", 9.0, 10.0, False)]


@given('a history in which {event} during a crash of "{host}"')
def step_history_during_other_crash(
    context: Context, event: str, host: str
) -> None:
    context.history = _HISTORIES[event]()
    context.faults = [Fault("kill_node", host, 9.0, 10.0, False)]


@given("a history in which {event} during a silence of the store")
def step_history_during_silence(context: Context, event: str) -> None:
    context.history = _HISTORIES[event]()
    fault = Fault("silence_store", "all", 9.0, 10.0, False)
    context.faults = [fault._replace(permits_failures=False)]


@given('a roll-out with the states "{states}" in the store')
def step_rollout_states(context: Context, states: str) -> None:
    context.history = [_REQUEST], [_RUN]
    context.faults = []
    context.states = tuple(states.split())


@given("a history in which {event}")
def step_history(context: Context, event: str) -> None:
    context.history = _HISTORIES[event]()
    context.faults = [Fault("stop_node", "h0", 9.0, 10.0, True)]


def _get_violated(context: Context) -> set[str]:
    sent, runs = context.history
    states = getattr(context, "states", _ROLLOUT.states)
    effects = FaultEffects(context.faults)
    oracle = Oracle(sent, runs, effects, _DEADLINE_SECONDS)
    organisation_oracle = OrganisationOracle(sent, runs, effects, _CAP)
    violations = oracle.iter_violations(
        {"i-departed": 10.0},
        [("b", 10.0, 11.0)],
        {"h0": "a", "h-withdrawn": "b"},
        _MAX_COLD_PER_SECOND,
    )
    rollout_oracle = RolloutOracle(runs, _ROLLOUT, states)
    lines = (
        *violations,
        *organisation_oracle.iter_violations(),
        *rollout_oracle.iter_violations(),
    )
    return {line.split()[0] for line in lines}


@then('the oracle reports "{check}" only')
def step_reports_only(context: Context, check: str) -> None:
    assert _get_violated(context) == {check}, _get_violated(context)


@then("the oracle reports nothing")
def step_reports_nothing(context: Context) -> None:
    assert not _get_violated(context), _get_violated(context)


@given("the log of a node whose links with a peer end {count:d} times at once")
def step_link_log(context: Context, count: int) -> None:
    async def run() -> None:
        record = LinkEndLog(VirtualClock())
        failure = TruncatedError("connection ended", step="receive_message")
        for _ in range(count):
            record.record(LinkEnd("h1", True, failure, 0.002))
        await trio.sleep(1.5)
        record.record(LinkEnd("h1", True, failure, 0.002))

    folder = tempfile.TemporaryDirectory(prefix="rhubarbpaddle-")
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    with logbook.TestHandler() as handler:
        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    lines = handler.formatted_records
    (context.folder / "h0.log").write_text("\n".join(lines))


@then("the oracle of links reports {number:d} violations")
def step_check_links(context: Context, number: int) -> None:
    violations = list(LinkOracle(context.folder).iter_violations())
    assert len(violations) == number, violations
    assert all(line.startswith("LINKS h0") for line in violations)
