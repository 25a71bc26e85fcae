"""A stateful test that checks all promises with an oracle."""
