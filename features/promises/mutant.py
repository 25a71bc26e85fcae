"""A disabled mechanism and a run that breaks a promise without it."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import NamedTuple

from features.promises.operation import Operation


class Mutant(NamedTuple):
    """Describes a deliberate fault that the oracle must report.

    Attributes:
        promise: The number of the promise that it breaks.
        mechanism: The mechanism that is disabled.
        disable: Returns a context in which the mechanism is disabled.
        operations: A run that breaks the promise without the mechanism.
    """

    promise: str
    mechanism: str
    disable: Callable[[], AbstractContextManager[object]]
    operations: tuple[Operation, ...]
