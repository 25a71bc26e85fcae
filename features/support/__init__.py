"""Fakes at the interfaces, and what the steps share."""
