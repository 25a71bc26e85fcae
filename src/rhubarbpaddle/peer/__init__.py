"""Protocol between nodes: messages, connections, clients and servers."""
