"""The limit that a shutdown sets on the deadlines of requests."""

import math

from rhubarbpaddle.execution.request import Request


class DeadlineLimit:
    """Brings deadlines forward to a time at which the node can still respond.

    Requests that can't be served until then are refused as not run, and those
    that run get a response before the process ends.

    Attributes:
        latest: The latest deadline, in monotonic seconds on this node; infinite
            unless the node shuts down.
    """

    def __init__(self) -> None:
        self.latest = math.inf

    def apply(self, request: Request) -> Request:
        """Returns the request with its deadline at the limit or earlier."""
        if request.deadline <= self.latest:
            return request
        return request._replace(
            deadline=self.latest,
            useful_until=min(request.useful_until, self.latest),
        )
