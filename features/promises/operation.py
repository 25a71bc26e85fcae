"""One operation of a run."""

from typing import NamedTuple


class Operation(NamedTuple):
    """Describes a call that the interpreter makes.

    Attributes:
        name: The name of a method of `Interpreter`.
        arguments: The arguments of the call.
    """

    name: str
    arguments: tuple[object, ...] = ()

    def __str__(self) -> str:
        return f"{self.name}{self.arguments}"
