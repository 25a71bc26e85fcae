"""The node process: its settings, its tasks, start-up and shutdown."""
