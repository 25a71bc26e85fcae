"""Reads a service from its section of the configuration text."""

from collections.abc import Iterable
from datetime import timedelta

from rhubarbpaddle.configuration.section import Section
from rhubarbpaddle.configuration.service import Service

_MILLISECOND = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)
_METHODS = (
    "CONNECT", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT",
    "TRACE",
)  # fmt: skip


def read_service(
    name: str, section: Section, depends_on: Iterable[str]
) -> Service:
    """Reads and validates a service; errors go to the section's diagnostics.

    Args:
        name: The service's name.
        section: The object that defines the service.
        depends_on: The services that it calls, already read.
    """
    default = Service(name)
    service = Service(
        name=name,
        depends_on=tuple(depends_on),
        slots=section.read_int("slots", default.slots, 1, 10_000),
        connections=section.read_int(
            "connections", default.connections, 1, 100_000
        ),
        timeout=section.read_duration(
            "timeout_ms", default.timeout, _MILLISECOND, 1, 3_600_000
        ),
        idempotent_methods=frozenset(
            section.read_strings(
                "idempotent_methods", default.idempotent_methods, _check_method
            )
        ),
        idempotent_targets=tuple(
            section.read_strings("idempotent_targets", (), _check_target)
        ),
        key_required=section.read_bool("key_required", default.key_required),
        undated_keys=section.read_bool("undated_keys", default.undated_keys),
        claim_window=section.read_duration(
            "claim_window_s", default.claim_window, _SECOND, 60, 30 * 86_400
        ),
        probe_share=section.read_float(
            "probe_share", default.probe_share, 0.0, 0.5
        ),
        probe_cost=section.read_duration(
            "probe_cost_ms", default.probe_cost, _MILLISECOND, 1, 60_000
        ),
        retry_ratio=section.read_float(
            "retry_ratio", default.retry_ratio, 0.0, 1.0
        ),
    )
    section.finish()
    _check_limits(section, service)
    _add_warnings(section, service)
    return service


def _check_limits(section: Section, service: Service) -> None:
    if service.connections < service.slots:
        section.diagnostics.add_error(
            section.get_offset("connections"),
            f"{section.title} has {service.slots} slots but only "
            f"{service.connections} connections",
            f'set "connections" to at least {service.slots}',
        )


def _add_warnings(section: Section, service: Service) -> None:
    if not service.key_required:
        section.diagnostics.add_warning(
            section.get_offset("key_required"),
            f"{section.title} accepts non-idempotent requests without a key, "
            "so a repeated one may run twice",
            'remove "key_required" to have each request run at most once',
        )
    if service.undated_keys:
        section.diagnostics.add_warning(
            section.get_offset("undated_keys"),
            f"{section.title} accepts keys without a date, so a request that "
            f"is repeated after {service.claim_window} may run twice",
            'remove "undated_keys" to require UUIDv7 keys',
        )
    unsafe_methods = service.idempotent_methods & {"POST", "PATCH"}
    if unsafe_methods:
        section.diagnostics.add_warning(
            section.get_offset("idempotent_methods"),
            f"{section.title} treats {', '.join(sorted(unsafe_methods))} as "
            "idempotent, so such a request may run more than once",
            "keep this only if repeating such a request is safe",
        )


def _check_method(method: str) -> str | None:
    if method in _METHODS:
        return None
    return f"use one of: {', '.join(_METHODS)}"


def _check_target(target: str) -> str | None:
    return None if target.startswith("/") else 'start the path with "/"'
