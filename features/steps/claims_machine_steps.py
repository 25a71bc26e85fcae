from behave import then, when
from behave.runner import Context

from features.support.broken_ledgers import (
    AnyoneReleases,
    ForgetsAtOnce,
    LastClaimWins,
)
from features.support.claims_machine import ClaimsMachine, run_machine
from rhubarbpaddle.execution.claim_ledger import ClaimLedger

_LEDGERS = {
    "the ledger": ClaimLedger,
    "a ledger whose last claim wins": LastClaimWins,
    "a ledger that ignores who releases": AnyoneReleases,
    "a ledger that forgets at once": ForgetsAtOnce,
}


@when("the claims machine runs {examples:d} examples with {ledger}")
def step_run(context: Context, examples: int, ledger: str) -> None:
    ClaimsMachine.sent = 0
    ClaimsMachine.answered = []
    context.fault = None
    try:
        run_machine(_LEDGERS[ledger], examples)
    except AssertionError as exc:
        context.fault = exc


@then("no key ran twice and not-run was never said of a key that ran")
def step_no_fault(context: Context) -> None:
    if context.fault is not None:
        raise context.fault


@then('the machine saw answers "{answers}"')
def step_saw(context: Context, answers: str) -> None:
    missing = set(answers.split(", ")) - set(ClaimsMachine.answered)
    assert not missing, missing


@then("a fault is found")
def step_fault(context: Context) -> None:
    assert context.fault is not None
    found = str(context.fault)
    assert "ran twice" in found or "not-run said" in found, found
