"""The node process: its settings, its tasks, start-up and shutdown."""

from rhubarbpaddle.node.node import Node
from rhubarbpaddle.node.settings import NodeSettings

__all__ = ["Node", "NodeSettings"]
