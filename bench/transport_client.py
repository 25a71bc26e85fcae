"""Sends batches of calls over one of the two transports.

Run as `python -m bench.transport_client (grpc|msgspec) PORT`. Each line of
standard input is a number of calls; the output is one line of JSON with the
seconds that each call took.
"""

import json
import sys
import time

import trio

from bench.transport_call import CALL, METHOD, decoder, encoder


def run_grpc(port: int) -> None:
    """Sends unary calls over one channel."""
    import grpc

    with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = channel.unary_unary(METHOD)
        for line in sys.stdin:
            seconds = []
            for _ in range(int(line)):
                started = time.perf_counter()
                decoder.decode(call(encoder.encode(CALL), wait_for_ready=True))
                seconds.append(time.perf_counter() - started)
            print(json.dumps(seconds), flush=True)


async def run_msgspec(port: int) -> None:
    """Sends calls as framed messages over one connection."""
    from rhubarbpaddle.peer.connection import PeerConnection
    from rhubarbpaddle.tcp_network import TcpNetwork

    stream = await TcpNetwork().connect(f"127.0.0.1:{port}")
    conn = PeerConnection(stream, "server")
    while line := await trio.to_thread.run_sync(sys.stdin.readline):
        seconds = []
        for _ in range(int(line)):
            started = time.perf_counter()
            await conn.send(CALL)
            await conn.receive()
            seconds.append(time.perf_counter() - started)
        print(json.dumps(seconds), flush=True)


if __name__ == "__main__":
    if sys.argv[1] == "grpc":
        run_grpc(int(sys.argv[2]))
    else:
        trio.run(run_msgspec, int(sys.argv[2]))
