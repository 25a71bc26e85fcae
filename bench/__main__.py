"""Lists the benches, or runs those that are named.

`python -m bench` lists them; `python -m bench all` runs them in order, and
`python -m bench NAME [ARGUMENT ...]` runs one with its arguments.
"""

import runpy
import sys
from pathlib import Path

_FOLDER = Path(__file__).parent


def get_names() -> list[str]:
    """Returns the names of all modules and packages beside this one."""
    found = [
        path.stem if path.is_file() else path.name
        for path in _FOLDER.iterdir()
        if path.suffix == ".py" or (path / "__main__.py").exists()
    ]
    return sorted(name for name in found if not name.startswith("_"))


def main(arguments: list[str]) -> int:
    """Runs what the arguments name."""
    names = get_names()
    if not arguments:
        print("\n".join(names))
        return 0
    chosen = names if arguments[0] == "all" else arguments[:1]
    for name in chosen:
        if name not in names:
            print(f"there is no bench {name!r}", file=sys.stderr)
            return 2
        sys.argv = [name, *arguments[1:]]
        runpy.run_module(f"bench.{name}", run_name="__main__", alter_sys=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
