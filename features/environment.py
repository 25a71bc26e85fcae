"""Hooks that behave runs before all features and each scenario."""

import logging

from behave.model import Scenario
from behave.runner import Context
from hypothesis import settings

from features.support.known_failures import load_known_failures
from features.support.process_cluster import ProcessCluster

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


def before_all(context: Context) -> None:
    logging.disable(logging.CRITICAL)
    context.known_failures = set(load_known_failures())


def before_scenario(context: Context, scenario: Scenario) -> None:
    if scenario.name in context.known_failures:
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context: Context, scenario: Scenario) -> None:
    # The files of the processes are deleted with the scenario.
    cluster = getattr(context, "cluster", None)
    if scenario.status.has_failed() and isinstance(cluster, ProcessCluster):
        print(cluster.group.describe())
