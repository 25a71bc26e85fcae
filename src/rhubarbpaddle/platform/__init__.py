"""Adapts the load balancer to the users' platform."""
