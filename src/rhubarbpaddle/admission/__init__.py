"""Whether a request may run now at the upstream beside this node."""

from rhubarbpaddle.admission.admission import Admission
from rhubarbpaddle.admission.slot import Slot
from rhubarbpaddle.admission.slot_admission import SlotAdmission
from rhubarbpaddle.admission.ticket import Ticket

__all__ = ["Admission", "Slot", "SlotAdmission", "Ticket"]
