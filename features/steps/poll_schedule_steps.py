from datetime import UTC, datetime, timedelta
from itertools import pairwise

from behave import given, then, when
from behave.runner import Context

from features.support.platform_world import make_settings
from rhubarbpaddle.membership import ReaderPosition
from rhubarbpaddle.platform.poll_schedule import PollSchedule
from rhubarbpaddle.platform.settings import PlatformSettings

_START = datetime(2026, 1, 1, tzinfo=UTC)
_DURATION = timedelta(seconds=60)
# The store responds a few milliseconds after the end of a poll.
_CALL_TIME = timedelta(milliseconds=5)


@given("bounds of {deadline:d} ms for a change and {contact:d} ms for contact")
def step_bounds(context: Context, deadline: int, contact: int) -> None:
    document = make_settings("h0")
    document["terms"]["bounds"] |= {
        "configApplyMs": deadline,
        "contactMs": contact,
    }
    settings = PlatformSettings.from_document(document)
    context.schedule = PollSchedule.from_config(settings)


@when("{count:d} readers poll at times spread over 60 s")
def step_poll(context: Context, count: int) -> None:
    context.waits = []
    context.ends = []
    for rank in range(count):
        now = _START + timedelta(milliseconds=37 * rank)
        while now < _START + _DURATION:
            wait = context.schedule.get_wait(ReaderPosition(rank, count), now)
            now += wait + _CALL_TIME
            context.waits.append(wait)
            context.ends.append(now)


@then("the ends of their polls are at most {seconds:g} s apart")
def step_check_spacing(context: Context, seconds: float) -> None:
    ends = sorted(end for end in context.ends if end < _START + _DURATION)
    gaps = [later - earlier for earlier, later in pairwise(ends)]
    allowed = timedelta(seconds=seconds) + _CALL_TIME
    assert max(gaps) <= allowed, max(gaps)


@then("each poll is held for at most {seconds:g} s")
def step_check_waits(context: Context, seconds: float) -> None:
    assert max(context.waits) <= timedelta(seconds=seconds), max(context.waits)
