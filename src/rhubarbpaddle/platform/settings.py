"""The settings file that the platform writes for each process."""

import math
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple, Self

from rhubarbpaddle.exceptions import SettingsError
from rhubarbpaddle.execution.retry_terms import RetryTerms
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.rollout.rollout_terms import RolloutTerms
from rhubarbpaddle.usage.quota_terms import QuotaTerms

SETTINGS_VARIABLE = "RHUBARBPADDLE_SETTINGS"
_STEP = "load_settings"
_BYTES_PER_MEGABIT = 125_000


class PlatformSettings(NamedTuple):
    """The settings of one node process.

    Attributes:
        node_id: The platform's `node`: the name of the host, which is also
            that of the only node on it.
        availability_zone: The platform's `zone`.
        service: The service of the instance on this host.
        instance_address: The platform's `appAddr`: the instance's `IP:PORT`.
        caller_address: The platform's `outbound`: for callers on this host.
        peer_address: The platform's `inbound`: for other nodes.
        readiness_address: For the platform's readiness check.
        report_address: The platform's `control`: for the instance's reports.
        store_address: The `IP:PORT` of the platform's store.
        report_interval: The platform's `heartbeatMs`.
        shutdown_grace: The platform's `graceS`: from SIGTERM to SIGKILL.
        configuration_deadline: The platform's `configApplyMs`: from the
            acknowledgement of a configuration until it must be in force.
        contact_time: The platform's `contactMs`: how long after a disruption
            all bounds hold again.
        recovery_time: The platform's `recoveryS`: how long after a loss
            requests must be served again; operators have written again by then
            what the store has lost.
        retry_terms: The retry budget that all nodes share.
        cold_multiplier: The platform's `coldMultiplier`: how many times its
            sustained rate a cold instance may get within a second.
        link_rate: The platform's `linkMbps`, in bytes per second; infinite if
            absent.
        is_first_start: The platform's `bootstrap`: whether the whole fleet
            starts for the first time.
        revocation_deadline: The platform's `revokeMs` if `failClosed` is set:
            how old the last confirmation of the configuration may be while
            keys are accepted. None if they are accepted at any age.
        seeds: Report addresses of other hosts; may be stale.
        rollout_terms: The platform's `exposureShare`, `exposureSlack` and
            `rollbackMs`, or None if the platform has no roll-outs.
        quota_terms: The platform's `quotaWindowS`, `quotaOverage` and
            `quotaSlack`; without all of them no usage caps are applied.
    """

    node_id: str
    availability_zone: str
    service: str
    instance_address: str
    caller_address: str
    peer_address: str
    readiness_address: str
    report_address: str
    store_address: str
    report_interval: timedelta
    shutdown_grace: timedelta
    configuration_deadline: timedelta
    contact_time: timedelta
    recovery_time: timedelta
    retry_terms: RetryTerms
    cold_multiplier: float
    link_rate: float
    is_first_start: bool
    revocation_deadline: timedelta | None
    seeds: tuple[str, ...]
    rollout_terms: RolloutTerms | None = None
    quota_terms: QuotaTerms | None = None

    @classmethod
    def from_file(cls, path: Path) -> Self:
        """Loads the settings.

        Raises:
            SettingsError: The file can't be read, or a field is missing or has
                a wrong type.
        """
        try:
            document = decode_json(path.read_bytes(), replace_invalid_text=True)
        except (OSError, ValueError) as exc:
            raise SettingsError(str(exc), step=_STEP, peer=str(path)) from exc
        try:
            return cls.from_document(document)
        except (
            KeyError,
            TypeError,
            ValueError,
            AttributeError,
            OverflowError,
        ) as exc:
            raise SettingsError(
                f"a field is missing or has a wrong type: {exc!r}",
                step=_STEP,
                peer=str(path),
            ) from exc

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> Self:
        """Parses the tables `local`, `network`, `platform` and `terms`.

        Raises:
            KeyError: A field is missing.
            TypeError: A field has a wrong type.
            ValueError: A field has a wrong value.
        """
        local, network = document["local"], document["network"]
        platform, bounds = document["platform"], document["terms"]["bounds"]
        listen = network["listen"]
        return cls(
            node_id=str(local["node"]),
            availability_zone=str(local["zone"]),
            service=str(local["service"]),
            instance_address=str(local["appAddr"]),
            caller_address=str(listen["outbound"]),
            peer_address=str(listen["inbound"]),
            readiness_address=str(listen["readiness"]),
            report_address=str(listen["control"]),
            store_address=str(platform["platform"]["address"]),
            report_interval=timedelta(
                milliseconds=float(platform["heartbeatMs"])
            ),
            shutdown_grace=timedelta(seconds=float(bounds["graceS"])),
            configuration_deadline=timedelta(
                milliseconds=float(bounds.get("configApplyMs", 2000))
            ),
            contact_time=timedelta(
                milliseconds=float(bounds.get("contactMs", 3000))
            ),
            recovery_time=timedelta(seconds=float(bounds.get("recoveryS", 15))),
            retry_terms=RetryTerms(
                ratio=float(bounds["retryBudgetRatio"]),
                slack=float(bounds["retryBudgetSlack"]),
                window=timedelta(seconds=float(bounds["budgetWindowS"])),
            ),
            cold_multiplier=_parse_cold_multiplier(bounds),
            link_rate=_parse_link_rate(local.get("limits", {})),
            is_first_start=bool(local.get("bootstrap", True)),
            revocation_deadline=_parse_revocation_deadline(bounds),
            seeds=tuple(map(str, network["seeds"])),
            rollout_terms=_parse_rollout_terms(bounds),
            quota_terms=_parse_quota_terms(bounds),
        )


def _parse_cold_multiplier(bounds: Mapping[str, Any]) -> float:
    multiplier = float(bounds.get("coldMultiplier", 1.0))
    if multiplier < 1:
        raise ValueError(f"coldMultiplier is {multiplier}")
    return multiplier


def _parse_revocation_deadline(bounds: Mapping[str, Any]) -> timedelta | None:
    if not bounds.get("failClosed", False):
        return None
    return timedelta(milliseconds=float(bounds["revokeMs"]))


def _parse_link_rate(limits: Mapping[str, Any]) -> float:
    megabits = float(limits.get("linkMbps", math.inf))
    if megabits <= 0:
        raise ValueError(f"linkMbps is {megabits}")
    return megabits * _BYTES_PER_MEGABIT


def _parse_rollout_terms(bounds: Mapping[str, Any]) -> RolloutTerms | None:
    if "exposureShare" not in bounds:
        return None
    share = float(bounds["exposureShare"])
    rollback_ms = float(bounds["rollbackMs"])
    if not 0 < share < 1:
        raise ValueError(f"exposureShare is {share}")
    if not 0 < rollback_ms < math.inf:
        raise ValueError(f"rollbackMs is {rollback_ms}")
    return RolloutTerms(
        exposure_share=share,
        exposure_slack=float(bounds["exposureSlack"]),
        rollback_time=timedelta(milliseconds=rollback_ms),
    )


def _parse_quota_terms(bounds: Mapping[str, Any]) -> QuotaTerms | None:
    names = ("quotaWindowS", "quotaOverage", "quotaSlack")
    if not all(name in bounds for name in names):
        return None
    window, overage, slack = (float(bounds[name]) for name in names)
    if not (window > 0 and overage >= 0 and slack >= 0):
        raise ValueError(f"{names} are {window}, {overage}, {slack}")
    return QuotaTerms(timedelta(seconds=window), overage, slack)
