"""Tells the story of one request from the logs of nodes."""
