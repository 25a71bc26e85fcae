import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.peer.link_pacer import PACED_CHUNK_BYTES, LinkPacer

_KB = 1000


@given("a network link of {rate:d} kB a second")
def step_link(context: Context, rate: int) -> None:
    context.rate = rate * _KB


@when("a body of {length:d} kB is sent with {seconds:d} s to its target")
def step_send(context: Context, length: int, seconds: int) -> None:
    async def run() -> None:
        pacer = LinkPacer(context.rate, VirtualClock())
        left = length * _KB
        rate = pacer.get_rate(left, trio.current_time() + seconds)
        while left > 0:
            await pacer.wait(PACED_CHUNK_BYTES, rate)
            left -= PACED_CHUNK_BYTES
        context.took = trio.current_time()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("it takes between {least:g} s and {most:g} s")
def step_took(context: Context, least: float, most: float) -> None:
    assert least <= context.took <= most, context.took
