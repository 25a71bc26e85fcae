"""Protocol between nodes: messages, connections, clients and servers."""

from rhubarbpaddle.peer.claims_client import ClaimsClient
from rhubarbpaddle.peer.claims_server import ClaimsServer
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.exchange_server import ExchangeServer
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.listener import PeerListener
from rhubarbpaddle.peer.overlay import Overlay
from rhubarbpaddle.peer.pool import PeerPool
from rhubarbpaddle.peer.remote_dispatcher import RemoteDispatcher

__all__ = [
    "ClaimsClient",
    "ClaimsServer",
    "ExchangeServer",
    "Overlay",
    "PeerConnection",
    "PeerIdentity",
    "PeerListener",
    "PeerPool",
    "RemoteDispatcher",
]
