"""Benchmarks; `python -m bench` lists them."""
