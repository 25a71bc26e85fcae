"""Admission control for the upstream beside this node."""

from rhubarbpaddle.admission.adaptive_admission import AdaptiveAdmission
from rhubarbpaddle.admission.admission import Admission
from rhubarbpaddle.admission.criticality_table import CriticalityTable
from rhubarbpaddle.admission.slot import Slot
from rhubarbpaddle.admission.ticket import Ticket

__all__ = [
    "AdaptiveAdmission",
    "Admission",
    "CriticalityTable",
    "Slot",
    "Ticket",
]
