"""Admission control for the upstream beside this node."""
