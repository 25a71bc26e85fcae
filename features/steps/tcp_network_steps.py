import socket

import trio
from behave import given, then, when
from behave.runner import Context

from rhubarbpaddle.measuring import EventLoopLoad
from rhubarbpaddle.network import split_address
from rhubarbpaddle.system_clock import SystemClock
from rhubarbpaddle.tcp_network import TcpNetwork

_HOST = "127.0.0.1"


def _find_port() -> int:
    with socket.socket() as sock:
        sock.bind((_HOST, 0))
        return int(sock.getsockname()[1])


@given("{count:d} connections to a listener that has not run yet")
def step_listener(context: Context, count: int) -> None:
    context.count = count
    context.address = f"{_HOST}:{_find_port()}"


@when("the event loop makes {passes:d} passes")
def step_passes(context: Context, passes: int) -> None:
    served: list[trio.abc.Stream] = []

    async def handle(stream: trio.abc.Stream) -> None:
        served.append(stream)
        await trio.sleep_forever()

    async def main() -> None:
        load = EventLoopLoad(SystemClock())
        async with trio.open_nursery() as nursery:
            network = TcpNetwork()
            await nursery.start(network.serve, context.address, handle)
            # Blocking calls, so that the listener's task can't run meanwhile.
            callers = [
                socket.create_connection(split_address(context.address))
                for _ in range(context.count)
            ]
            load.install()
            while load.passes < passes:
                await trio.lowlevel.checkpoint()
            context.served = len(served)
            nursery.cancel_scope.cancel()
        for caller in callers:
            caller.close()

    trio.run(main)


@then("all {count:d} connections are served")
def step_all_served(context: Context, count: int) -> None:
    assert context.served == count, context.served
