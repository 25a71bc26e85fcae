"""Latency buckets of equal ratio."""

import math

# Four buckets per factor of two: two versions whose speeds differ by a factor
# of three are six buckets apart.
BUCKETS_PER_OCTAVE = 4
_MIN_SECONDS = 0.001
MAX_BUCKET = 64


def get_bucket(seconds: float) -> int:
    """Returns the bucket of a latency; 0 is a millisecond or less."""
    if seconds <= _MIN_SECONDS:
        return 0
    octaves = math.log2(seconds / _MIN_SECONDS)
    return min(MAX_BUCKET, math.ceil(octaves * BUCKETS_PER_OCTAVE))
