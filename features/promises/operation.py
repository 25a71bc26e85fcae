"""One step of a run."""

from typing import NamedTuple


class Operation(NamedTuple):
    """A step that the interpreter carries out.

    Attributes:
        name: A method of `Interpreter`.
        arguments: Its arguments.
    """

    name: str
    arguments: tuple[object, ...] = ()

    def __str__(self) -> str:
        return f"{self.name}{self.arguments}"
