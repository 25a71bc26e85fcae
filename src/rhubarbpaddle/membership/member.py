"""A node as its peers know it."""

from typing import NamedTuple

from rhubarbpaddle.membership.member_status import MemberStatus
from rhubarbpaddle.membership.upstream_summary import UpstreamSummary


class Member(NamedTuple):
    """A node; its entry is written by the node itself, except its status.

    Attributes:
        node_id: The node's name from its settings, unique in the cluster.
        incarnation: Microseconds since the epoch at the node's start.
        version: Counts the changes within one incarnation.
        status: What is known of the node.
        host: The host's name.
        availability_zone: The zone that the host stands in.
        peer_address: `IP:PORT` of the listener for other nodes.
        admin_address: `IP:PORT` of the listener for operators.
        upstream: The instance beside the node, if one has announced itself.
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

        At equal incarnation and version a worse status wins, so that a
        suspicion spreads until the node refutes it with a higher version.
        """
        mine = (self.incarnation, self.version, _RANK[self.status])
        theirs = (other.incarnation, other.version, _RANK[other.status])
        return mine > theirs


_RANK = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}
