"""Measures what remote ends that use up a node cost other requests."""
