"""The choice of an instance, as the gateway sees it."""

from collections.abc import Collection
from typing import Protocol

from rhubarbpaddle.configuration import Configuration
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.routing.candidate import Candidate


class Router(Protocol):
    """Chooses the instance for each try of a request."""

    def choose(
        self, cfg: Configuration, service: str, tried: Collection[str]
    ) -> Candidate | None:
        """Returns the instance for the next try.

        Args:
            cfg: The configuration in force.
            service: The service that the request is for.
            tried: Node ids that this request has already tried.

        Returns:
            The candidate, or None if no instance may take the request.
        """
        ...

    def has_other(
        self, cfg: Configuration, service: str, tried: Collection[str]
    ) -> bool:
        """Returns whether an instance is left that promises an answer.

        Args:
            cfg: The configuration in force.
            service: The service that the request is for.
            tried: Node ids that do not count.
        """
        ...

    def started(self, candidate: Candidate) -> None:
        """Notes that a request was sent to the candidate."""
        ...

    def finished(
        self,
        candidate: Candidate,
        latency: float | None,
        succeeded: bool,
        report: LoadReport | None,
        code: str = "",
    ) -> None:
        """Notes the end of a request.

        Args:
            candidate: The instance that the request was sent to.
            latency: Seconds from the start to the response head. None if it
                says nothing of the instance, as after a long upload or if
                the caller gave the request up.
            succeeded: False for refusals, errors and 5xx answers.
            report: The load that came back with the answer, if one came.
            code: The code of the refusal, or empty.
        """
        ...
