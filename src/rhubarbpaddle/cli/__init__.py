"""The command-line interface."""

from rhubarbpaddle.cli.main import main

__all__ = ["main"]
