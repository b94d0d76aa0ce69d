"""Checks of the core protocol and of its behaviour under faults."""
