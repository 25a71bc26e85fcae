"""The order in which nodes become the owner of a usage cap."""

from bisect import insort
from collections.abc import Iterable

from rhubarbpaddle.routing.rendezvous import get_weight

# That all of these are among the two thirds of nodes that a partition cuts off
# has a probability of 0.2 %.
_MAX_RANKED = 16


class OwnerRanking:
    """Ranks the known nodes for each organisation by rendezvous hash.

    A ranking is computed once; a new node is inserted into those that exist,
    because at a start of the fleet many nodes join within a second.
    """

    def __init__(self, node_ids: Iterable[str]) -> None:
        self._node_ids = set(node_ids)
        self._rankings: dict[str, list[tuple[int, str]]] = {}

    def add_node(self, node_id: str) -> None:
        """Adds a node if it is new."""
        if node_id in self._node_ids:
            return
        self._node_ids.add(node_id)
        for organisation, ranking in self._rankings.items():
            insort(ranking, (-get_weight(organisation, node_id), node_id))
            del ranking[_MAX_RANKED:]

    def remove_nodes(self, node_ids: Iterable[str]) -> None:
        """Removes nodes."""
        self._node_ids.difference_update(node_ids)
        self._rankings.clear()

    def get(self, organisation: str) -> list[str]:
        """Returns the first nodes for an organisation, the owner first."""
        ranking = self._rankings.get(organisation)
        if ranking is None:
            ranking = sorted(
                (-get_weight(organisation, node_id), node_id)
                for node_id in self._node_ids
            )[:_MAX_RANKED]
            self._rankings[organisation] = ranking
        return [node_id for _, node_id in ranking]
