"""The interface that restricts a gateway's choice by instance version."""

from collections.abc import Set
from typing import Protocol


class VersionPolicy(Protocol):
    """Determines which instances a request may be sent to."""

    def record_request(self, service: str) -> None:
        """Records a request to a service."""
        ...

    def get_excluded(self, service: str) -> Set[str]:
        """Returns the nodes that a request must not be sent to."""
        ...

    def get_canary_excluded(self, service: str) -> Set[str] | None:
        """Returns the nodes to exclude to reach an unproven version.

        It is one on trial, or a new one without an order. None if the next
        request must not be sent there.
        """
        ...

    def record_canary(self, service: str) -> None:
        """Records that a request is sent to an unproven version."""
        ...


class _AllVersions:
    """Permits all instances, as without roll-outs."""

    def record_request(self, service: str) -> None:
        """Does nothing."""

    def get_excluded(self, service: str) -> Set[str]:
        """Returns no nodes."""
        return frozenset()

    def get_canary_excluded(self, service: str) -> Set[str] | None:
        """Returns None, as no version is limited."""
        return None

    def record_canary(self, service: str) -> None:
        """Does nothing."""


ALL_VERSIONS: VersionPolicy = _AllVersions()
