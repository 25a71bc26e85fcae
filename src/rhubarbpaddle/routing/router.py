"""The interface of routing, as used by the gateway."""

from collections.abc import Collection
from typing import Protocol

from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.routing.candidate import Candidate


class Router(Protocol):
    """Chooses the instance for each attempt of a request."""

    def choose(
        self, cfg: Configuration, service: str, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns the instance for the next attempt.

        Args:
            cfg: The configuration in force.
            service: The service that the request is for.
            excluded: Node ids that this request was sent to before.

        Returns:
            The candidate, or None if no instance may get the request.
        """
        ...

    def has_other(
        self, cfg: Configuration, service: str, excluded: Collection[str]
    ) -> bool:
        """Returns whether another instance can probably serve the request.

        Args:
            cfg: The configuration in force.
            service: The service that the request is for.
            excluded: Node ids that don't count.
        """
        ...

    def record_start(self, candidate: Candidate) -> None:
        """Records that a request was sent to the candidate."""
        ...

    def record_end(
        self,
        candidate: Candidate,
        latency: float | None,
        succeeded: bool,
        report: LoadReport | None,
        code: str = "",
    ) -> None:
        """Records the end of a request.

        Args:
            candidate: The instance that the request was sent to.
            latency: Seconds from the start to the response head. None if it
                doesn't reflect the instance's speed, for example after a long
                upload or if the caller cancelled the request.
            succeeded: False for refusals, errors and 5xx responses.
            report: The load report that came with the response, or None.
            code: The code of the refusal, or the empty string.
        """
        ...
