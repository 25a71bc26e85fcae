"""Rendezvous hashing."""

import hashlib


def get_weight(chooser: str, node_id: str) -> int:
    """Returns the rendezvous hash of a choosing node and another node.

    It is the same on every host and in every process. If a node always chooses
    the nodes with the highest weights, its choice changes little when a node
    joins or leaves.

    Args:
        chooser: The node that chooses.
        node_id: The node that may be chosen.

    Returns:
        A 64-bit number.
    """
    key = f"{chooser}\0{node_id}".encode()
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big")
