import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.peer.link_pacer import LinkPacer

_BYTES_PER_KB = 1000
# As `RemoteDispatcher` has it.
_UPLOAD_FRACTION = 0.25


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
        useful_until = trio.current_time() + seconds
        with pacer.transfer(remaining, useful_until, _UPLOAD_FRACTION) as body:
            while remaining > 0:
                await body.wait_turn(pacer.chunk_bytes)
                remaining -= pacer.chunk_bytes
            # The time of the last chunk counts as well.
            await body.wait_turn(1)
        context.transfer_seconds = trio.current_time()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("the transfer takes between {least:g} s and {most:g} s")
def step_transfer_time(context: Context, least: float, most: float) -> None:
    assert least <= context.transfer_seconds <= most, context.transfer_seconds
