"""Decisions without I/O: a reducer over events that returns effects."""
