"""Parses, validates and versions the operators' configuration."""
