"""Usage caps of organisations over all nodes."""
