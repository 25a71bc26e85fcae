"""Measurement of load, latency and health, and its cost limits."""

from rhubarbpaddle.measuring.event_loop_load import EventLoopLoad
from rhubarbpaddle.measuring.evidence import NO_EVIDENCE, Evidence
from rhubarbpaddle.measuring.evidence_kind import EvidenceKind
from rhubarbpaddle.measuring.latency_window import LatencyWindow
from rhubarbpaddle.measuring.load_report import LoadReport
from rhubarbpaddle.measuring.probe_budget import ProbeBudget

__all__ = [
    "NO_EVIDENCE",
    "EventLoopLoad",
    "Evidence",
    "EvidenceKind",
    "LatencyWindow",
    "LoadReport",
    "ProbeBudget",
]
