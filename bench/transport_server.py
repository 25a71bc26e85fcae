"""Responds to calls over one of the two transports.

Run as `python -m bench.transport_server (grpc|msgspec) PORT`.
"""

import sys
from concurrent.futures import ThreadPoolExecutor

import trio

from bench.transport_call import METHOD, RESPONSE, decoder, encoder


def serve_grpc(port: int) -> None:
    """Serves unary calls with a thread pool."""
    import grpc

    def run(request: bytes, context: grpc.ServicerContext) -> bytes:
        decoder.decode(request)
        return encoder.encode(RESPONSE)

    service, method = METHOD.strip("/").split("/")
    handlers = {method: grpc.unary_unary_rpc_method_handler(run)}
    server = grpc.server(ThreadPoolExecutor(max_workers=8))
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(service, handlers),)
    )
    server.add_insecure_port(f"127.0.0.1:{port}")
    server.start()
    server.wait_for_termination()


async def serve_msgspec(port: int) -> None:
    """Serves calls as framed messages."""
    from rhubarbpaddle.peer.connection import PeerConnection
    from rhubarbpaddle.tcp_network import TcpNetwork

    async def handle(stream: trio.abc.Stream) -> None:
        conn = PeerConnection(stream, "client")
        while True:
            await conn.receive()
            await conn.send(RESPONSE)

    await TcpNetwork().serve(f"127.0.0.1:{port}", handle)


if __name__ == "__main__":
    if sys.argv[1] == "grpc":
        serve_grpc(int(sys.argv[2]))
    else:
        trio.run(serve_msgspec, int(sys.argv[2]))
