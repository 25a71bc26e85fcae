"""Message that responds to the challenge of the handshake."""

import msgspec


class Hello(msgspec.Struct, array_like=True, tag="hello", frozen=True):
    """Identifies the connecting node and proves that it knows the secret.

    Attributes:
        cluster: The cluster's name.
        protocol: The version of the protocol between nodes.
        node_id: The connecting node's id.
        incarnation: The connecting node's incarnation.
        purpose: The use of the connection: `exchange`, `claims`, `control` or
            `usage`.
        proof: HMAC-SHA256 over the other fields and the nonce.
    """

    cluster: str
    protocol: int
    node_id: str
    incarnation: int
    purpose: str
    proof: bytes
