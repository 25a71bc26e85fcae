"""Generates closed-loop load from many connections in one thread."""

import selectors
import time

from bench.raw_client import RawClient


def run_load(
    address: str, service: str, connections: int, seconds: float
) -> int:
    """Keeps one request in flight on each connection.

    Args:
        address: `IP:PORT` of the server.
        service: The service that the requests are for.
        connections: The number of connections.
        seconds: The duration of the load.

    Returns:
        The number of complete responses.
    """
    responses = 0
    with selectors.DefaultSelector() as selector:
        clients = [RawClient(address, service) for _ in range(connections)]
        for client in clients:
            selector.register(client.socket, selectors.EVENT_READ, client)
            client.send()
        deadline = time.perf_counter() + seconds
        while time.perf_counter() < deadline:
            for key, _ in selector.select(timeout=1):
                client = key.data
                if client.receive():
                    responses += 1
                    client.send()
        for client in clients:
            client.socket.close()
    return responses
