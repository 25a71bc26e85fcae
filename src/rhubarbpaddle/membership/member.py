"""A node's entry in the member table."""

from typing import NamedTuple

from rhubarbpaddle.membership.member_status import MemberStatus
from rhubarbpaddle.membership.upstream_summary import UpstreamSummary


class Member(NamedTuple):
    """A node's entry, which only the node itself changes, except its status.

    Attributes:
        node_id: The node's name from its settings, unique in the cluster.
        incarnation: Microseconds since the epoch at the node's start.
        version: The number of changes within the incarnation.
        status: The node's status; its peers may change it.
        host: The host's name.
        availability_zone: The zone of the host.
        peer_address: `IP:PORT` of the listener for other nodes.
        admin_address: `IP:PORT` of the listener for operators.
        upstream: The instance beside the node, or None if none has announced
            itself.
    """

    node_id: str
    incarnation: int
    version: int
    status: MemberStatus
    host: str
    availability_zone: str
    peer_address: str
    admin_address: str
    upstream: UpstreamSummary | None

    def supersedes(self, other: "Member") -> bool:
        """Returns whether this entry is newer than another of the same node.

        At equal incarnation and version, the worse status supersedes the
        better one, so that a suspicion spreads until the node refutes it with
        a higher version.
        """
        own_key = (self.incarnation, self.version, _STATUS_RANK[self.status])
        other_key = (
            other.incarnation,
            other.version,
            _STATUS_RANK[other.status],
        )
        return own_key > other_key


_STATUS_RANK = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}
