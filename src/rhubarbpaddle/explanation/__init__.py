"""Collects what the logs of nodes say about one request."""
