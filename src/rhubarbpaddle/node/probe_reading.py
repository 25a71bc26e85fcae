"""The response of an upstream's load endpoint."""

from typing import NotRequired, TypedDict


class ProbeReading(TypedDict):
    """The JSON object that `/load` returns; further members are ignored.

    `in_flight` is the number of requests that the upstream is running, `state`
    its state.
    """

    in_flight: NotRequired[int]
    state: NotRequired[str]
