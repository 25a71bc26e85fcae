"""The membership of nodes and upstreams in the cluster."""

from rhubarbpaddle.membership.member import Member
from rhubarbpaddle.membership.member_status import MemberStatus
from rhubarbpaddle.membership.member_table import MemberTable
from rhubarbpaddle.membership.neighbours import choose_neighbours
from rhubarbpaddle.membership.reader_position import ReaderPosition
from rhubarbpaddle.membership.store_access import StoreAccess
from rhubarbpaddle.membership.store_access_table import StoreAccessTable
from rhubarbpaddle.membership.store_reader_election import StoreReaderElection
from rhubarbpaddle.membership.suspicion import Suspicion
from rhubarbpaddle.membership.upstream_state import UpstreamState
from rhubarbpaddle.membership.upstream_summary import UpstreamSummary

__all__ = [
    "Member",
    "MemberStatus",
    "MemberTable",
    "ReaderPosition",
    "StoreAccess",
    "StoreAccessTable",
    "StoreReaderElection",
    "Suspicion",
    "UpstreamState",
    "UpstreamSummary",
    "choose_neighbours",
]
