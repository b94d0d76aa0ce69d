"""Demonstration with real processes."""
