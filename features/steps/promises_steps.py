from behave import then, when
from behave.runner import Context
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from features.promises.interpreter import Interpreter
from features.promises.machine import PromiseMachine
from features.promises.mutants import MUTANTS, find_broken_promise

_CHECKS = {
    "agreement",
    "at most once",
    "capacity",
    "leaving",
    "never reverts",
    "not run",
    "own responses",
    "probes",
    "served",
    "withdrawn",
}


@when("the state machine generates {runs:d} runs of {steps:d} steps")
def step_runs(context: Context, runs: int, steps: int) -> None:
    context.totals = PromiseMachine.totals = Interpreter(0)
    run_state_machine_as_test(
        PromiseMachine,
        settings=settings(
            max_examples=runs,
            stateful_step_count=steps,
            # Shrinking takes minutes; the failing steps are in the message.
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


@then("the oracle has made each of its checks")
def step_checked(context: Context) -> None:
    checked = {name for name, count in context.totals.checked.items() if count}
    assert checked == _CHECKS, checked ^ _CHECKS


@when("the mutant that breaks {promise} is run")
def step_mutant(context: Context, promise: str) -> None:
    mutant = next(m for m in MUTANTS if m.promise == promise)
    context.message = find_broken_promise(mutant)


@then("the oracle reports that {promise} was broken")
def step_reported(context: Context, promise: str) -> None:
    assert context.message.startswith(promise), context.message
