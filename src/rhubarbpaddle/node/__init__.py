"""The node process: settings, tasks and start-up."""

from rhubarbpaddle.node.node import Node
from rhubarbpaddle.node.settings import NodeSettings

__all__ = ["Node", "NodeSettings"]
