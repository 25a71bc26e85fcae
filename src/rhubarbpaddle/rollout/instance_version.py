"""Values of an instance's version that are not names of versions."""

# A node that has found its instance by a health check does not know the
# version before the first report.
UNKNOWN_VERSION = "?"
# The instance, or an earlier release of the node beside it, reports none.
NO_VERSION = ""
