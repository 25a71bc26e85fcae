from behave import then, when
from behave.runner import Context

from features.support.broken_ledgers import (
    AnyClaimReleases,
    ExpiresEarly,
    LastClaimWins,
)
from features.support.claims_machine import ClaimsMachine, run_machine
from rhubarbpaddle.execution.claim_ledger import ClaimLedger

_LEDGERS = {
    "the correct ledger": ClaimLedger,
    "a ledger whose last claim wins": LastClaimWins,
    "a ledger that releases for any claim id": AnyClaimReleases,
    "a ledger that expires claims early": ExpiresEarly,
}


@when("the claims machine runs {examples:d} examples with {ledger}")
def step_run(context: Context, examples: int, ledger: str) -> None:
    ClaimsMachine.sent = 0
    ClaimsMachine.results = []
    context.violation = None
    try:
        run_machine(_LEDGERS[ledger], examples)
    except AssertionError as exc:
        context.violation = exc


@then("no key ran twice and no key that ran was reported as not-run")
def step_no_violation(context: Context) -> None:
    if context.violation is not None:
        raise context.violation


@then('the machine received the results "{results}"')
def step_received(context: Context, results: str) -> None:
    missing = set(results.split(", ")) - set(ClaimsMachine.results)
    assert not missing, missing


@then("the machine finds a violation")
def step_violation(context: Context) -> None:
    assert context.violation is not None
    message = str(context.violation)
    assert "ran twice" in message or "not-run reported" in message, message
