"""Builds the single executable file."""
