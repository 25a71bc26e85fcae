import math

import trio
from behave import then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.modelled_link import ModelledLink
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.peer.link_pacer import LinkPacer

_BYTES_PER_KB = 1000
_SHORT_BYTES = 1000
_SHORT_INTERVAL_SECONDS = 0.02
# As `ExchangeServer` has it.
_TIME_FRACTION = 0.5


class SharedLink:
    """Bodies and short messages on one link.

    Attributes:
        waits: The time that each short message took, in seconds.
        late_seconds: For each body, how much later than its latency target it
            arrived; negative if it was in time.
    """

    def __init__(self, rate: float) -> None:
        self.pacer = LinkPacer(rate, VirtualClock())
        self.waits: list[float] = []
        self.late_seconds: list[float] = []
        self._link = ModelledLink(rate)

    async def send_body(
        self, length: int, seconds: float, *, known: bool = True
    ) -> None:
        useful_until = trio.current_time() + seconds
        declared = length if known else None
        with self.pacer.transfer(
            declared, useful_until, _TIME_FRACTION
        ) as transfer:
            remaining, wait = length, 0.0
            while remaining > 0:
                size = min(remaining, self.pacer.chunk_bytes)
                await transfer.wait_turn(size)
                wait = self._link.send(size)
                remaining -= size
        self.late_seconds.append(trio.current_time() + wait - useful_until)

    async def send_short_messages(self) -> None:
        while True:
            self.waits.append(self._link.send(_SHORT_BYTES))
            await trio.sleep(_SHORT_INTERVAL_SECONDS)


@when(
    "{count:d} bodies of {length:d} kB share it with short messages, with"
    " {seconds:d} s until their latency target"
)
def step_share(context: Context, count: int, length: int, seconds: int) -> None:
    async def run() -> None:
        link = context.link = SharedLink(context.rate)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.send_short_messages)
            async with trio.open_nursery() as bodies:
                for _ in range(count):
                    bodies.start_soon(
                        link.send_body, length * _BYTES_PER_KB, float(seconds)
                    )
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@when(
    "a body of {length:d} kB with {seconds:g} s until its latency target joins"
    " {count:d} of {others_length:d} kB with {others_seconds:g} s"
)
def step_hurry(
    context: Context,
    length: int,
    seconds: float,
    count: int,
    others_length: int,
    others_seconds: float,
) -> None:
    async def run() -> None:
        link = context.link = SharedLink(context.rate)
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(
                    link.send_body,
                    others_length * _BYTES_PER_KB,
                    others_seconds,
                )
            await trio.sleep(0.1)
            await link.send_body(length * _BYTES_PER_KB, seconds)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@when(
    "a body of {length:d} kB without a latency target joins {count:d} of"
    " {others_length:d} kB with {others_seconds:g} s"
)
def step_no_hurry(
    context: Context,
    length: int,
    count: int,
    others_length: int,
    others_seconds: float,
) -> None:
    async def run() -> None:
        link = SharedLink(context.rate)
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(
                    link.send_body,
                    others_length * _BYTES_PER_KB,
                    others_seconds,
                )
            await trio.sleep(0.1)
            started = trio.current_time()
            await link.send_body(length * _BYTES_PER_KB, math.inf)
            context.seconds = trio.current_time() - started
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("it has been sent within {limit:g} s")
def step_sent(context: Context, limit: float) -> None:
    assert 0 < context.seconds <= limit, context.seconds


@then("the one that joined arrives in time")
def step_joined_in_time(context: Context) -> None:
    assert context.link.late_seconds[-1] <= 0, context.link.late_seconds


@when(
    "a body of unknown length turns out to have {length:d} kB, with"
    " {seconds:g} s until its latency target"
)
def step_unknown(context: Context, length: int, seconds: float) -> None:
    async def run() -> None:
        link = context.link = SharedLink(context.rate)
        await link.send_body(length * _BYTES_PER_KB, seconds, known=False)

    trio.run(run, clock=MockClock(autojump_threshold=0))


@when(
    "{count:d} transfers have stalled and a body of {length:d} kB is sent"
    " without a latency target"
)
def step_stalled(context: Context, count: int, length: int) -> None:
    async def stall(link: SharedLink) -> None:
        with link.pacer.transfer(10**6, math.inf, 1.0) as transfer:
            await transfer.wait_turn(link.pacer.chunk_bytes)
            await trio.sleep_forever()

    async def run() -> None:
        link = SharedLink(context.rate)
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(stall, link)
            await trio.sleep(1)
            started = trio.current_time()
            await link.send_body(length * _BYTES_PER_KB, math.inf)
            elapsed = trio.current_time() - started
            context.rate_fraction = (
                length * _BYTES_PER_KB / elapsed / context.rate
            )
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("no short message waits longer than {wait:d} ms")
def step_waits(context: Context, wait: int) -> None:
    assert len(context.link.waits) > 1, context.link.waits
    assert max(context.link.waits) <= wait / 1000, max(context.link.waits)


@then("the bodies arrive in time")
@then("it arrives in time")
def step_in_time(context: Context) -> None:
    late_seconds = context.link.late_seconds
    assert late_seconds, "no body was sent"
    assert max(late_seconds) <= 0, late_seconds


@then("the body is sent at {percent:d} % of the link's rate")
def step_rate(context: Context, percent: int) -> None:
    fraction = context.rate_fraction
    assert abs(fraction - percent / 100) < 0.02, fraction
