"""Runs a stand-in as a process of its own."""

import argparse

import trio

from standins.http_server import Handler, serve_connection
from standins.log_server import LogServer
from standins.upstream import Upstream


def main() -> None:
    """Runs the stand-in that the command line specifies."""
    parser = argparse.ArgumentParser(prog="standins")
    commands = parser.add_subparsers(dest="command", required=True)
    log = commands.add_parser("log")
    log.add_argument("address")
    upstream = commands.add_parser("upstream")
    upstream.add_argument("address")
    upstream.add_argument("--announce-to", required=True)
    upstream.add_argument("--service", required=True)
    upstream.add_argument("--instance", required=True)
    upstream.add_argument("--slots", type=int, default=6)
    upstream.add_argument("--work-ms", type=float, default=5.0)
    arguments = parser.parse_args()
    if arguments.command == "log":
        trio.run(_serve, arguments.address, LogServer().handle)
    else:
        trio.run(_run_upstream, arguments)


async def _run_upstream(arguments: argparse.Namespace) -> None:
    upstream = Upstream(
        arguments.service,
        arguments.instance,
        arguments.slots,
        arguments.work_ms / 1000,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_serve, arguments.address, upstream.handle)
        nursery.start_soon(
            upstream.announce, arguments.announce_to, arguments.address
        )


async def _serve(address: str, handler: Handler) -> None:
    host, _, port = address.rpartition(":")

    async def handle(stream: trio.SocketStream) -> None:
        await serve_connection(stream, handler)

    await trio.serve_tcp(handle, int(port), host=host)


if __name__ == "__main__":
    main()
