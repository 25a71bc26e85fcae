"""Prints what hostile remote ends cost the requests of others.

Runs real node processes on loopback addresses and, for each kind of remote
end, measures none, one and eight of them at one node.

`python -m bench hostile [WORD]` prints a row for each kind whose name contains
the word; without one, for all kinds.
"""

import sys

import trio

from bench.hostile.kinds import list_kinds
from bench.hostile.measurement import measure
from bench.hostile.row import Row

_COUNTS = (1, 8)


def main() -> None:
    """Prints the table."""
    word = sys.argv[1] if len(sys.argv) > 1 else ""
    kinds = [kind for kind in list_kinds() if word in kind.name]
    print("| " + " | ".join(Row._fields) + " |")
    print("| --- " * len(Row._fields) + "|")
    runs = [(kinds[0], 0), *((kind, n) for kind in kinds for n in _COUNTS)]
    for kind, count in runs:
        print(trio.run(measure, kind, count).format(), flush=True)


if __name__ == "__main__":
    main()
