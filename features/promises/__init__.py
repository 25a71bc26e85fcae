"""A stateful test of all promises against a simple oracle."""
