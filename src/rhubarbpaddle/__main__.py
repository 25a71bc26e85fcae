"""Runs the executable as `python -m rhubarbpaddle`."""

from rhubarbpaddle.cli import main

if __name__ == "__main__":
    main()
