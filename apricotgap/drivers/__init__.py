"""Shells between the core and the outside world."""
