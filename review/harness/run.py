"""A request that reached an instance."""

from typing import NamedTuple


class Run(NamedTuple):
    """A request that an instance has begun to run.

    Attributes:
        request_id: The id of the request.
        instance: The id of the instance.
        service: The service of the instance.
        at: When it arrived, in seconds since the start of the script.
        body: Its body.
    """

    request_id: str
    instance: str
    service: str
    at: float
    body: bytes
