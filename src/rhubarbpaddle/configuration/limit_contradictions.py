"""Finds limits of a routing configuration that contradict each other."""

import itertools
from collections.abc import Iterator
from datetime import timedelta

from rhubarbpaddle.configuration.finding import Finding
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.configuration.route import Route
from rhubarbpaddle.configuration.routing_draft import RoutingDraft
from rhubarbpaddle.configuration.service_limits import ServiceLimits

# Operators set latency targets of three times the work or more, so an attempt
# takes at least about this fraction of the target.
_WORK_FRACTION = 1 / 3
# Requests that a caller sends evenly arrive together after the link or the
# process was slow, which it is for 0.1 s or more at a time. A cap must admit
# them at once; they are within its rate.
_BUNCHING_SECONDS = 0.1


def find_contradictions(draft: RoutingDraft) -> Iterator[Finding]:
    """Yields a finding for each limit that another one makes impossible."""
    return itertools.chain(
        itertools.chain.from_iterable(map(_check_route, draft.routes)),
        itertools.chain.from_iterable(map(_check_service, draft.services)),
        itertools.chain.from_iterable(
            _check_cap(organisation) for organisation, _ in draft.organisations
        ),
    )


def _check_route(route: Route) -> Iterator[Finding]:
    subject = f"route {route.name}"
    work = route.latency_target * _WORK_FRACTION
    if route.timeout <= timedelta(0):
        yield Finding(
            "no_time",
            subject,
            f"the timeout is {_format(route.timeout)}, so that every request"
            " is too late",
        )
    elif route.latency_target > route.timeout:
        yield Finding(
            "target_above_timeout",
            subject,
            f"the latency target of {_format(route.latency_target)} is above"
            f" the timeout of {_format(route.timeout)}",
        )
    elif route.max_attempts > route.timeout / max(work, timedelta.resolution):
        yield Finding(
            "attempts_exceed_timeout",
            subject,
            f"{route.max_attempts} attempts don't fit in the timeout of"
            f" {_format(route.timeout)}: one takes about {_format(work)}, a"
            " third of the latency target",
        )
    if route.max_attempts < 1:
        yield Finding(
            "no_attempt",
            subject,
            f"it permits {route.max_attempts} attempts; each request gets one",
        )


def _check_service(limits: ServiceLimits) -> Iterator[Finding]:
    subject = f"service {limits.service}"
    if limits.connections < 1:
        yield Finding(
            "no_connection",
            subject,
            f"an instance accepts {limits.connections} connections, so that"
            " it gets no requests",
        )
    if limits.cold_start > timedelta(0) and limits.cold_rate <= 0:
        yield Finding(
            "no_cold_request",
            subject,
            f"a cold instance gets {limits.cold_rate:g} requests a second for"
            f" {_format(limits.cold_start)}",
        )


def _check_cap(organisation: Organisation) -> Iterator[Finding]:
    subject = f"organisation {organisation.name}"
    if not organisation.is_capped:
        if organisation.burst > 0:
            yield Finding(
                "burst_without_rate",
                subject,
                f"the burst of {organisation.burst:g} has no effect without a"
                " rate",
            )
        return
    need = max(1.0, organisation.rate * _BUNCHING_SECONDS)
    if organisation.burst < need:
        yield Finding(
            "burst_too_small",
            subject,
            f"the burst of {organisation.burst:g} is below the {need:g}"
            " requests that one caller may send at once within the rate of"
            f" {organisation.rate:g} per second",
        )


def _format(duration: timedelta) -> str:
    return f"{duration.total_seconds() * 1000:g} ms"
