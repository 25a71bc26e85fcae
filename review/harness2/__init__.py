"""Stand-ins and helpers for the cases of the second review."""
