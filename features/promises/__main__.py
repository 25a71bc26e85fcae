"""Runs the state machine for many steps and prints the failing seeds."""

import argparse
import logging
import sys

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from features.promises.interpreter import Interpreter
from features.promises.machine import PromiseMachine, print_totals


def main() -> int:
    """Tests one seed after another until the number of steps is reached."""
    parser = argparse.ArgumentParser(prog="features.promises")
    parser.add_argument("--steps", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--run-steps", type=int, default=40)
    parser.add_argument("--runs", type=int, default=20)
    arguments = parser.parse_args()
    logging.disable(logging.CRITICAL)
    totals = PromiseMachine.totals = Interpreter(0)
    number = arguments.seed
    failures = []
    while sum(totals.operations.values()) < arguments.steps:
        machine = seed(number)(PromiseMachine)
        try:
            run_state_machine_as_test(
                machine,
                settings=settings(
                    max_examples=arguments.runs,
                    stateful_step_count=arguments.run_steps,
                    deadline=None,
                    database=None,
                    # Shrinking takes minutes, so the operations are printed.
                    phases=(Phase.generate,),
                    suppress_health_check=list(HealthCheck),
                ),
            )
        except Exception as exc:
            failures.append(number)
            print(f"seed {number} failed: {exc!r}", flush=True)
            print(PromiseMachine.failed_operations, flush=True)
        print(f"seed {number} done", flush=True)
        print_totals(totals)
        number += 1
    print(f"failing seeds: {failures or 'none'}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
