"""A randomized soak: real node processes under faults from outside."""
