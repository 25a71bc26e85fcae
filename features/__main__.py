"""Runs all features and prints `N passed, N failed` as the last line."""

import sys
from collections import Counter

from behave.configuration import Configuration
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Runner

from features.support.known_red import load_known_red

_PASSED = {Status.passed}
_SKIPPED = {Status.skipped, Status.untested}


def main(arguments: list[str]) -> int:
    """Runs the features named, or all, and returns the exit code."""
    options = ["--no-capture", "--format", "progress3", *arguments]
    if not any(argument.startswith("features") for argument in arguments):
        options.append("features")
    runner = Runner(Configuration(options))
    broken = runner.run()
    counts: Counter[str] = Counter()
    for feature in runner.features:
        counts.update(
            _classify(scenario) for scenario in feature.walk_scenarios()
        )
    for name in load_known_red():
        print(f"known red, not run: {name}")
    print(f"{counts['passed']} passed, {counts['failed']} failed")
    return 1 if broken or counts["failed"] else 0


def _classify(scenario: Scenario) -> str:
    if scenario.status in _PASSED:
        return "passed"
    return "skipped" if scenario.status in _SKIPPED else "failed"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
