"""What an upstream's load endpoint says."""

from typing import NotRequired, TypedDict


class ProbeReading(TypedDict):
    """The JSON object at `/load`; further members are ignored.

    The members are requests that the upstream holds and its state.
    """

    in_flight: NotRequired[int]
    state: NotRequired[str]
