"""An instance that a request may be sent to."""

from typing import NamedTuple, Self

from rhubarbpaddle.membership import Member


class Candidate(NamedTuple):
    """The identity and location of an instance and of the node beside it.

    Attributes:
        node_id: The node beside the instance.
        peer_address: `IP:PORT` of that node's listener for other nodes.
        availability_zone: The zone that both run in.
        service: The service's name.
        instance: The instance's name.
        incarnation: The upstream's incarnation at the time of the choice.
    """

    node_id: str
    peer_address: str
    availability_zone: str
    service: str
    instance: str
    incarnation: int

    @classmethod
    def from_member(cls, member: Member) -> Self:
        """Creates the candidate for a member that has an upstream."""
        assert member.upstream is not None
        return cls(
            node_id=member.node_id,
            peer_address=member.peer_address,
            availability_zone=member.availability_zone,
            service=member.upstream.service,
            instance=member.upstream.instance,
            incarnation=member.upstream.incarnation,
        )
