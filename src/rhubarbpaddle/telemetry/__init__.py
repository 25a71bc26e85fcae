"""Logs and metrics."""

from rhubarbpaddle.telemetry.event_logger import EventLogger, get_logger
from rhubarbpaddle.telemetry.log_output import LogOutput
from rhubarbpaddle.telemetry.metrics import Metrics

__all__ = ["EventLogger", "LogOutput", "Metrics", "get_logger"]
