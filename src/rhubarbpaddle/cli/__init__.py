"""The command line."""

from rhubarbpaddle.cli.main import main

__all__ = ["main"]
