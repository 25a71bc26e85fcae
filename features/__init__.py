"""Tests of the behaviour, run by `python -m features`."""
