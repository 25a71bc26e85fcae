"""Demonstration with real processes on one machine."""
