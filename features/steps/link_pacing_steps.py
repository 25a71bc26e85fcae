import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.peer.link_pacer import PACED_CHUNK_BYTES, LinkPacer

_BYTES_PER_KB = 1000


@given("a network link of {rate:d} kB/s")
def step_link(context: Context, rate: int) -> None:
    context.rate = rate * _BYTES_PER_KB


@when(
    "a body of {length:d} kB is sent with {seconds:d} s until its latency"
    " target"
)
def step_send(context: Context, length: int, seconds: int) -> None:
    async def run() -> None:
        pacer = LinkPacer(context.rate, VirtualClock())
        remaining = length * _BYTES_PER_KB
        rate = pacer.get_rate(remaining, trio.current_time() + seconds)
        while remaining > 0:
            await pacer.wait(PACED_CHUNK_BYTES, rate)
            remaining -= PACED_CHUNK_BYTES
        context.transfer_seconds = trio.current_time()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("the transfer takes between {least:g} s and {most:g} s")
def step_transfer_time(context: Context, least: float, most: float) -> None:
    assert least <= context.transfer_seconds <= most, context.transfer_seconds
