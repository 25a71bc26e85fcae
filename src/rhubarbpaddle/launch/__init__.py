"""Reduces what it costs to start a node process."""
