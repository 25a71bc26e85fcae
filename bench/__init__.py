"""Measurements; each module runs with `python -m bench.NAME`."""
