"""The entry of a node in the directory of node addresses."""

import json

NODES_TOPIC = "keyed.nodes"


def make_directory_entry(peer_address: str, availability_zone: str) -> bytes:
    """Returns the value that is stored under the id of a node.

    Args:
        peer_address: The `IP:PORT` of the node for other nodes.
        availability_zone: The zone of the node.
    """
    document = {"peer_address": peer_address, "zone": availability_zone}
    return json.dumps(document).encode()
