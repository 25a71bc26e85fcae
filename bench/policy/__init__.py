"""Compares the routing policy with baselines under a virtual clock."""
