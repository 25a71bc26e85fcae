"""A proxy that only copies bytes, the lower bound for a hop in Python.

Run as `python -m bench.copier LISTEN_ADDRESS TARGET_ADDRESS`.
"""

import sys

import trio

_RECEIVE_BYTES = 1 << 16


class Copier:
    """Forwards the bytes of each connection to a target and back."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._host = host
        self._port = int(port)

    async def handle(self, stream: trio.SocketStream) -> None:
        """Copies in both directions until either side ends."""
        target = await trio.open_tcp_stream(self._host, self._port)
        async with stream, target, trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(_copy, stream, target, scope)
            nursery.start_soon(_copy, target, stream, scope)


async def _copy(
    source: trio.SocketStream,
    target: trio.SocketStream,
    scope: trio.CancelScope,
) -> None:
    try:
        while data := await source.receive_some(_RECEIVE_BYTES):
            await target.send_all(data)
    except trio.BrokenResourceError:
        pass
    scope.cancel()


async def main(address: str, target: str) -> None:
    """Serves until the process is terminated."""
    host, _, port = address.rpartition(":")
    await trio.serve_tcp(Copier(target).handle, int(port), host=host)


if __name__ == "__main__":
    trio.run(main, sys.argv[1], sys.argv[2])
