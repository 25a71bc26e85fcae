"""Connections of a remote end that proves the cluster's secret."""

from typing import NamedTuple

import trio

from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.tcp_network import TcpNetwork

_PORT = 7006
# The same for all nodes of the platform, which provides no secret.
_CLUSTER, _SECRET = "platform", b"-"


class PeerOpening(NamedTuple):
    """Opens authenticated connections with a purpose."""

    purpose: str

    async def open(self, ip: str, number: int) -> trio.abc.Stream:
        identity = PeerIdentity(_CLUSTER, f"extra-{number}", 1, _SECRET)
        connector = PeerConnector(TcpNetwork(), identity)
        conn = await connector.connect(f"{ip}:{_PORT}", self.purpose)
        return conn.stream
