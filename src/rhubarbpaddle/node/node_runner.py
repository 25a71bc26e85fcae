"""Runs a node until the process receives a stop signal."""

import signal
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio
from trio import TaskStatus

from rhubarbpaddle.telemetry import get_logger

_STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})

_log = get_logger("node")


class NodeRunner(Protocol):
    """A function that runs the tasks of a node."""

    async def __call__(
        self, *, task_status: TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs all tasks until cancelled."""
        ...


async def run_until_signal(
    run: NodeRunner,
    shut_down: Callable[[], Awaitable[bool]],
    reload: Callable[[], None] | None = None,
) -> bool:
    """Runs a node until SIGTERM or SIGINT.

    Args:
        run: Runs the node's tasks.
        shut_down: Shuts down gracefully; returns whether all work ended.
        reload: Called on SIGHUP.

    Returns:
        Whether all work was completed; False if a second signal or the time
        limit of the shutdown interrupted some of it.
    """
    handled_signals = [*_STOP_SIGNALS, *([signal.SIGHUP] if reload else [])]
    completed = False
    with trio.open_signal_receiver(*handled_signals) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(run)
            stopping = False

            async def stop() -> None:
                nonlocal completed
                completed = await shut_down()
                nursery.cancel_scope.cancel()

            async for signum in signals:
                if signum not in _STOP_SIGNALS:
                    assert reload is not None
                    reload()
                elif stopping:
                    _log.warn("node_stopped_by_force", signal=signum)
                    nursery.cancel_scope.cancel()
                    break
                else:
                    stopping = True
                    _log.info("node_stopping", signal=signum)
                    nursery.start_soon(stop)
    return completed
