"""How much earlier a response from another zone must be."""

import math

# Part of the time to the latency target that must be gained, whatever the
# number of bytes. Callers don't notice less, and the estimates of waits are not
# more exact.
_TARGET_FRACTION = 0.1
# A transfer of this many bytes between zones has to gain the whole time to the
# latency target.
_TARGET_BYTES = 64 * 1024


def compute_margin(target_seconds: float, transfer_bytes: float) -> float:
    """Returns the time in seconds that leaving the zone must gain.

    Args:
        target_seconds: The time that remains to the latency target. A request
            that can't meet it gains nothing in another zone.
        transfer_bytes: The bytes that it is expected to transfer.
    """
    if target_seconds <= 0:
        return math.inf
    fraction = _TARGET_FRACTION + transfer_bytes / _TARGET_BYTES
    return fraction * target_seconds
