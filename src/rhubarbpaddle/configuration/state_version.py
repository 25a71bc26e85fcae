"""The version of the state that nodes exchange."""

from collections.abc import Iterable
from typing import NamedTuple

# An era and a number within it.
Position = tuple[int, int]


class StateVersion(NamedTuple):
    """Says how much of the log of configurations a state includes.

    Attributes:
        era: How often the log has come back from an older copy. Numbers of
            different eras can't be compared.
        number: The number of the last change within the era, such as the offset
            after it in the log; 0 if there is none.
        carried: For each earlier era from which the state keeps what the log
            has lost, the newest position of which that is known. Sorted.
        since: The first era from which on the state has been followed. A node
            that has just started knows no numbers of earlier eras.
    """

    era: int
    number: int
    carried: tuple[Position, ...] = ()
    since: int = 0

    @property
    def position(self) -> Position:
        """The era and the number, which order all states of one log."""
        return self.era, self.number

    def lacks(self, other: "StateVersion") -> bool:
        """Returns whether another state includes anything that this doesn't."""
        return other.position > self.position or (
            other.era == self.era
            and (
                other.since < self.since
                or not all(map(self.has_carried, other.carried))
            )
        )

    def has_carried(self, position: Position) -> bool:
        """Returns whether what was lost up to a position is included."""
        era, number = position
        return dict(self.carried).get(era, -1) >= number

    def carry(self, positions: Iterable[Position]) -> "StateVersion":
        """Returns the version with further positions of earlier eras."""
        newest = dict(self.carried)
        for era, number in positions:
            newest[era] = max(number, newest.get(era, -1))
        return self._replace(carried=tuple(sorted(newest.items())))


NO_STATE = StateVersion(0, 0)
