"""The check of member entries that other nodes send."""

from collections.abc import Callable

from rhubarbpaddle.membership.member import Member
from rhubarbpaddle.membership.upstream_summary import UpstreamSummary

# Names come from the platform's settings and from instances.
_MAX_NAME_LENGTH = 255
# Leaves room for increments in the 64 bits of the encoding. Incarnations are
# microseconds since the epoch, some 2^51.
_MAX_NUMBER = 2**62
_MAX_SLOTS = 1_000_000


def find_member_problem(
    member: Member, is_valid_address: Callable[[str], bool]
) -> str | None:
    """Returns why an entry must not be stored or passed on, or None.

    Args:
        member: An entry of another node.
        is_valid_address: Returns whether connections to an address can be
            attempted.
    """
    names = (member.node_id, member.host, member.availability_zone)
    if not all(map(_is_name, names)):
        return "a name is empty or too long"
    if not (_is_count(member.incarnation) and _is_count(member.version)):
        return "a number is out of range"
    if not is_valid_address(member.peer_address):
        return "the address is not an IP address and a port"
    if member.upstream is not None:
        return _find_upstream_problem(member.upstream)
    return None


def _find_upstream_problem(upstream: UpstreamSummary) -> str | None:
    if not (_is_name(upstream.service) and _is_name(upstream.instance)):
        return "a name of the instance is empty or too long"
    if not _is_count(upstream.incarnation):
        return "the incarnation of the instance is out of range"
    if len(upstream.version) > _MAX_NAME_LENGTH:
        return "the version of the instance is too long"
    if not 1 <= upstream.slots <= _MAX_SLOTS:
        return "the number of slots is out of range"
    return None


def _is_name(name: str) -> bool:
    return 0 < len(name) <= _MAX_NAME_LENGTH


def _is_count(number: int) -> bool:
    return 0 <= number <= _MAX_NUMBER
