"""A bound on the connections between nodes of a test."""

import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.connector import PeerConnector


@contextmanager
def limit_connections(count: int) -> Iterator[None]:
    """Fails if nodes open more connections to each other than expected.

    A test in which they do so without a pause would otherwise run forever: the
    virtual clock stands still while any task can run.
    """
    connect = PeerConnector.connect
    attempts = itertools.count()

    async def count_attempt(
        connector: PeerConnector, address: str, purpose: str
    ) -> PeerConnection:
        assert next(attempts) < count, f"over {count} connections, {address}"
        return await connect(connector, address, purpose)

    with patch.object(PeerConnector, "connect", count_attempt):
        yield
