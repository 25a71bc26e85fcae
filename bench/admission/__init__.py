"""Benchmarks of admission and cold start."""
