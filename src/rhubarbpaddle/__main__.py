"""Runs the executable as `python -m rhubarbpaddle`."""

import sys

if sys.argv[1:] == ["platform"]:
    from rhubarbpaddle.launch.prepare_import import prepare_import

    prepare_import()

from rhubarbpaddle.cli import main

if __name__ == "__main__":
    main()
