"""A mechanism that is switched off, and a run that shows it."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import NamedTuple

from features.promises.operation import Operation


class Mutant(NamedTuple):
    """A change of the product that the oracle has to notice.

    Attributes:
        promise: The promise that it breaks.
        mechanism: What is switched off.
        switch_off: Makes the change while its context is open.
        operations: A run that breaks the promise without the mechanism.
    """

    promise: str
    mechanism: str
    switch_off: Callable[[], AbstractContextManager[object]]
    operations: tuple[Operation, ...]
