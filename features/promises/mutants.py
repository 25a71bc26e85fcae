"""Disables one mechanism at a time and checks that the oracle reports it.

Run by `python -m features.promises.mutants`.
"""

import logging
import sys
from unittest import mock

from bench.admission.fixed_slots import FixedSlots
from features.promises.interpreter import Interpreter
from features.promises.mutant import Mutant
from features.promises.operation import Operation
from features.promises.world import NODES, SLOTS
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.configuration_history import (
    ConfigurationHistory,
)
from rhubarbpaddle.execution.claiming_gateway import ClaimingGateway
from rhubarbpaddle.http import upstream_client
from rhubarbpaddle.measuring import ProbeBudget
from rhubarbpaddle.node.upstream_registry import UpstreamRegistry
from rhubarbpaddle.outcome import Outcome


def _without_claims():  # type: ignore[no-untyped-def]
    def handle(self, request, body):  # type: ignore[no-untyped-def]
        return self._gateway.handle(request, body)

    return mock.patch.object(ClaimingGateway, "handle", handle)


def _without_unknown_outcomes():  # type: ignore[no-untyped-def]
    original = upstream_client._make_unknown_outcome_refusal

    def make(*args, **kwargs):  # type: ignore[no-untyped-def]
        refusal = original(*args, **kwargs)
        refusal.outcome = Outcome.NOT_RUN
        return refusal

    return mock.patch.object(
        upstream_client, "_make_unknown_outcome_refusal", make
    )


def _without_cold_start():  # type: ignore[no-untyped-def]
    return mock.patch(
        "rhubarbpaddle.node.upstream_registry.AdaptiveAdmission.from_config",
        lambda service, organisations, clock, baseline: FixedSlots(
            SLOTS, clock
        ),
    )


def _without_base_versions():  # type: ignore[no-untyped-def]
    original = ConfigurationHistory._apply_publication

    def apply(self, offset, record):  # type: ignore[no-untyped-def]
        return original(self, offset, {**record, "base": self.version})

    return mock.patch.object(ConfigurationHistory, "_apply_publication", apply)


def _without_zones():  # type: ignore[no-untyped-def]
    return mock.patch.object(Configuration, "is_in_service", lambda *_: True)


def _without_leaving():  # type: ignore[no-untyped-def]
    original = UpstreamRegistry.announce

    async def announce_warm(self, announcement, accepted):  # type: ignore[no-untyped-def]
        warm = announcement._replace(state="warm")
        return await original(self, warm, accepted)

    return mock.patch.object(UpstreamRegistry, "announce", announce_warm)


def _without_probe_budget():  # type: ignore[no-untyped-def]
    return mock.patch.multiple(
        ProbeBudget,
        try_spend=lambda self: True,
        get_delay=lambda self: 0.0,
    )


def _op(name: str, *arguments: object) -> Operation:
    return Operation(name, arguments)


_COLD_BURST = (
    *(_op("replace_upstream", node, 0.0) for node in NODES[:3]),
    _op("advance", 0.7),
    *(_op("send", node, "lanes", "get", "GET", 12) for node in NODES[:3]),
)
MUTANTS = (
    Mutant("P1", "the probe budget", _without_probe_budget, ()),
    Mutant("P2", "cold-start admission", _without_cold_start, _COLD_BURST),
    Mutant("P3", "the availability zone check", _without_zones, ()),
    Mutant(
        "P5",
        "unknown outcomes",
        _without_unknown_outcomes,
        (
            *(_op("slow_down", node, 5.0) for node in NODES[:3]),
            _op("send", NODES[3], "lanes", "get", "GET", 1),
            _op("advance", 10.0),
        ),
    ),
    Mutant(
        "P6",
        "claims",
        _without_claims,
        (
            _op("send", NODES[0], "lanes", "post", "POST", 1),
            _op("advance", 3.0),
            _op("send_again", 0, NODES[1]),
            _op("advance", 3.0),
        ),
    ),
    Mutant("P7", "the leaving state", _without_leaving, ()),
    Mutant(
        "P9",
        "the base version check",
        _without_base_versions,
        (_op("publish", frozenset(), True), _op("advance", 3.0)),
    ),
)


def find_broken_promise(mutant: Mutant) -> str:
    """Runs a mutant and returns the oracle's message, or an empty text."""
    with mutant.disable():
        try:
            Interpreter(seed=1).run(mutant.operations)
        except BaseExceptionGroup as group:
            return _get_first_message(group)
    return ""


def _get_first_message(exc: BaseException) -> str:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return str(exc)


def main() -> int:
    """Runs all mutants and prints which ones the oracle reported."""
    logging.disable(logging.CRITICAL)
    missed = 0
    for mutant in MUTANTS:
        message = find_broken_promise(mutant)
        caught = message.startswith(mutant.promise)
        missed += not caught
        print(
            f"{'caught' if caught else 'MISSED'}: {mutant.promise} without "
            f"{mutant.mechanism}: {message[:100]}",
            flush=True,
        )
    print(f"{len(MUTANTS) - missed} caught, {missed} missed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
