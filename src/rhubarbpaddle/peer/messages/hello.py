"""The connecting node's introduction."""

import msgspec


class Hello(msgspec.Struct, array_like=True, tag="hello", frozen=True):
    """Who connects, what for, and the proof that it knows the secret.

    Attributes:
        cluster: The cluster's name.
        protocol: The version of these messages.
        node_id: The connecting node.
        incarnation: The connecting node's incarnation.
        purpose: `exchange`, `claims` or `control`.
        proof: HMAC-SHA256 over the other fields and the nonce.
    """

    cluster: str
    protocol: int
    node_id: str
    incarnation: int
    purpose: str
    proof: bytes
