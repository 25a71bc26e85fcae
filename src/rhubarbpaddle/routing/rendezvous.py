"""Rendezvous hashing."""

import hashlib


def get_weight(chooser: str, node_id: str) -> int:
    """Returns the weight of a node for a chooser.

    The weight is the same on every host and in every process. A chooser that
    takes the nodes with the highest weights changes few of them when a node
    comes or goes.

    Args:
        chooser: The node that chooses.
        node_id: The node that is weighed.

    Returns:
        A 64-bit number.
    """
    key = f"{chooser}\0{node_id}".encode()
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big")
