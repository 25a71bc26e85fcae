"""Messages of the protocol between nodes, one type in each module."""

from rhubarbpaddle.peer.messages.admitted import Admitted
from rhubarbpaddle.peer.messages.body_chunk import BodyChunk
from rhubarbpaddle.peer.messages.body_end import BodyEnd
from rhubarbpaddle.peer.messages.call import Call
from rhubarbpaddle.peer.messages.challenge import Challenge
from rhubarbpaddle.peer.messages.claim_granted import ClaimGranted
from rhubarbpaddle.peer.messages.claim_held_response import ClaimHeldResponse
from rhubarbpaddle.peer.messages.claim_refused import ClaimRefused
from rhubarbpaddle.peer.messages.claim_request import ClaimRequest
from rhubarbpaddle.peer.messages.configuration_request import (
    ConfigurationRequest,
)
from rhubarbpaddle.peer.messages.configuration_update import ConfigurationUpdate
from rhubarbpaddle.peer.messages.crash_counts import CrashCounts
from rhubarbpaddle.peer.messages.heartbeat import Heartbeat
from rhubarbpaddle.peer.messages.hello import Hello
from rhubarbpaddle.peer.messages.keep_alive import KeepAlive
from rhubarbpaddle.peer.messages.member_update import MemberUpdate
from rhubarbpaddle.peer.messages.outcome_report import OutcomeReport
from rhubarbpaddle.peer.messages.refusal import Refusal
from rhubarbpaddle.peer.messages.reject import Reject
from rhubarbpaddle.peer.messages.release_report import ReleaseReport
from rhubarbpaddle.peer.messages.report_recorded import ReportRecorded
from rhubarbpaddle.peer.messages.response_head import ResponseHead
from rhubarbpaddle.peer.messages.usage_request import UsageRequest
from rhubarbpaddle.peer.messages.usage_response import UsageResponse
from rhubarbpaddle.peer.messages.welcome import Welcome

Message = (
    Admitted
    | BodyEnd
    | BodyChunk
    | Call
    | Challenge
    | ConfigurationRequest
    | ConfigurationUpdate
    | Heartbeat
    | Hello
    | KeepAlive
    | MemberUpdate
    | ClaimGranted
    | ClaimHeldResponse
    | ClaimRefused
    | ClaimRequest
    | OutcomeReport
    | Refusal
    | Reject
    | ReleaseReport
    | ReportRecorded
    | ResponseHead
    | CrashCounts
    | UsageRequest
    | UsageResponse
    | Welcome
)

__all__ = [
    "Admitted",
    "BodyChunk",
    "BodyEnd",
    "Call",
    "Challenge",
    "ClaimGranted",
    "ClaimHeldResponse",
    "ClaimRefused",
    "ClaimRequest",
    "ConfigurationRequest",
    "ConfigurationUpdate",
    "CrashCounts",
    "Heartbeat",
    "Hello",
    "KeepAlive",
    "MemberUpdate",
    "Message",
    "OutcomeReport",
    "Refusal",
    "Reject",
    "ReleaseReport",
    "ReportRecorded",
    "ResponseHead",
    "UsageRequest",
    "UsageResponse",
    "Welcome",
]
