"""The check of crash records that other nodes and the store send."""

from itertools import chain

from rhubarbpaddle.execution.crash_update import CrashUpdate

# Fingerprints are digests, and nodes have names from the platform's settings.
_MAX_NAME_LENGTH = 255
# Leaves room for increments in the 64 bits of the encoding. Times are
# microseconds since the epoch, some 2^51.
_MAX_NUMBER = 2**62
# Far more than the instances that a request crashes until it is blocked.
MAX_CRASHES = 64


def find_crash_update_problem(update: CrashUpdate) -> str | None:
    """Returns why an update must not be stored or passed on, or None."""
    names = chain(
        (update.fingerprint,), (crash.node_id for crash in update.crashes)
    )
    numbers = chain(
        (update.sequence, update.updated_at),
        (crash.recorded_at for crash in update.crashes),
    )
    if len(update.crashes) > MAX_CRASHES:
        return "there are too many crashes"
    if not all(0 < len(name) <= _MAX_NAME_LENGTH for name in names):
        return "a name is empty or too long"
    if not all(0 <= number <= _MAX_NUMBER for number in numbers):
        return "a number is out of range"
    return None
