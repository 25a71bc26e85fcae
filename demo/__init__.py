"""A demonstration with real processes on one machine."""
