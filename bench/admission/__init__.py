"""Figures on admission and cold start."""
