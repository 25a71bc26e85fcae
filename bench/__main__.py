"""Lists or runs benchmarks.

`python -m bench` lists them, `python -m bench all` runs all in alphabetical
order, and `python -m bench NAME [ARGUMENT ...]` runs one with its arguments.
"""

import runpy
import sys
from pathlib import Path

_DIRECTORY = Path(__file__).parent


def get_names() -> list[str]:
    """Returns the names of the benchmark modules and packages."""
    names = [
        path.stem if path.is_file() else path.name
        for path in _DIRECTORY.iterdir()
        if path.suffix == ".py" or (path / "__main__.py").exists()
    ]
    return sorted(name for name in names if not name.startswith("_"))


def main(arguments: list[str]) -> int:
    """Lists the benchmarks or runs those that the arguments name.

    Returns:
        The exit code: 2 if there is no such benchmark, else 0.
    """
    names = get_names()
    if not arguments:
        print("\n".join(names))
        return 0
    selected = names if arguments[0] == "all" else arguments[:1]
    for name in selected:
        if name not in names:
            print(f"there is no benchmark {name!r}", file=sys.stderr)
            return 2
        sys.argv = [name, *arguments[1:]]
        runpy.run_module(f"bench.{name}", run_name="__main__", alter_sys=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
