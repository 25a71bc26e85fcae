"""Identity of a node and its proof in the peer handshake."""

import hashlib
import hmac
from typing import NamedTuple

from rhubarbpaddle.peer.messages import Hello

PROTOCOL_VERSION = 1


class PeerIdentity(NamedTuple):
    """Creates and verifies the handshake messages of this node.

    Attributes:
        cluster: The cluster's name.
        node_id: This node's id.
        incarnation: This node's incarnation.
        secret: The HMAC key that all nodes of the cluster share.
    """

    cluster: str
    node_id: str
    incarnation: int
    secret: bytes

    def make_hello(self, purpose: str, nonce: bytes) -> Hello:
        """Creates the response to a challenge.

        Args:
            purpose: The purpose of the connection.
            nonce: The nonce of the challenge.
        """
        hello = Hello(
            self.cluster,
            PROTOCOL_VERSION,
            self.node_id,
            self.incarnation,
            purpose,
            b"",
        )
        return Hello(
            self.cluster,
            PROTOCOL_VERSION,
            self.node_id,
            self.incarnation,
            purpose,
            self._make_proof(hello, nonce),
        )

    def find_rejection_reason(self, hello: Hello, nonce: bytes) -> str | None:
        """Returns why a handshake is rejected, or None if it is valid.

        Args:
            hello: The connecting node's response to the challenge.
            nonce: The nonce of the challenge.
        """
        if hello.protocol != PROTOCOL_VERSION:
            return f"protocol version {hello.protocol} is not supported"
        if hello.cluster != self.cluster:
            return "the node belongs to another cluster"
        if not hmac.compare_digest(hello.proof, self._make_proof(hello, nonce)):
            return "the proof does not match the shared secret"
        return None

    def _make_proof(self, hello: Hello, nonce: bytes) -> bytes:
        fields = (
            hello.cluster,
            str(hello.protocol),
            hello.node_id,
            str(hello.incarnation),
            hello.purpose,
        )
        signed = "\0".join(fields).encode() + b"\0" + nonce
        return hmac.digest(self.secret, signed, hashlib.sha256)
