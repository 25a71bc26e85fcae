"""Load, latency and health, and what it costs to measure them."""

from rhubarbpaddle.measuring.load_report import LoadReport

__all__ = ["LoadReport"]
