"""Caches one claims client for each partition owner."""

from rhubarbpaddle.network import Network
from rhubarbpaddle.peer.claims_client import ClaimsClient
from rhubarbpaddle.peer.connector import PeerConnector

# 16 partitions with 3 candidate owners each, and as many former owners.
_MAX_CLIENTS = 96


class ClaimsClientCache:
    """A least-recently-used cache of the clients of partition owners."""

    def __init__(self, network: Network, connector: PeerConnector) -> None:
        self._network = network
        self._connector = connector
        self._clients: dict[str, ClaimsClient] = {}

    def get(self, address: str) -> ClaimsClient:
        """Returns the client for the node at a peer address."""
        client = self._clients.pop(address, None)
        if client is None:
            client = ClaimsClient(self._network, self._connector, address)
        self._clients[address] = client
        if len(self._clients) > _MAX_CLIENTS:
            del self._clients[next(iter(self._clients))]
        return client
