"""Structured logs and metrics of a process."""

from rhubarbpaddle.telemetry.event_logger import EventLogger, get_logger
from rhubarbpaddle.telemetry.log_output import LogOutput
from rhubarbpaddle.telemetry.metrics import Metrics
from rhubarbpaddle.telemetry.node_readings import NodeReadings

__all__ = ["EventLogger", "LogOutput", "Metrics", "NodeReadings", "get_logger"]
