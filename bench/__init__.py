"""Measurements of the project; `python -m bench` lists and runs them."""
