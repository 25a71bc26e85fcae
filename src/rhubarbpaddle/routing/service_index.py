"""An index of the members that accept requests, by service."""

from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
)


class ServiceIndex:
    """Indexes the member table by service, so that requests needn't scan it.

    It listens to changes of the table.
    """

    def __init__(self, table: MemberTable) -> None:
        self._members: dict[str, dict[str, Member]] = {}
        self._service_by_node: dict[str, str] = {}
        self._versions: dict[str, int] = {}
        for member in table:
            self._update(member)
        table.add_listener(self._update)

    def get_members(self, service: str) -> list[Member]:
        """Returns the members whose upstream accepts the service's requests."""
        return list(self._members.get(service, {}).values())

    def get_version(self, service: str) -> int:
        """Returns a number that increases when the service's members change."""
        return self._versions.get(service, 0)

    def _update(self, member: Member, source: str | None = None) -> None:
        node_id = member.node_id
        previous = self._service_by_node.get(node_id)
        service = _get_service(member)
        if previous is not None and previous != service:
            del self._service_by_node[node_id]
            del self._members[previous][node_id]
            self._versions[previous] += 1
        if service is None:
            return
        members = self._members.setdefault(service, {})
        current = members.get(node_id)
        members[node_id] = member
        self._service_by_node[node_id] = service
        if current is None or not _is_equal_for_routing(current, member):
            self._versions[service] = self.get_version(service) + 1


def _get_service(member: Member) -> str | None:
    upstream = member.upstream
    if (
        upstream is None
        or member.status is not MemberStatus.ALIVE
        or upstream.state not in (UpstreamState.COLD, UpstreamState.WARM)
    ):
        return None
    return upstream.service


def _is_equal_for_routing(first: Member, second: Member) -> bool:
    return (first.availability_zone, first.peer_address, first.upstream) == (
        second.availability_zone,
        second.peer_address,
        second.upstream,
    )
