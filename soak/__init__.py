"""Randomized soak of the real programs as processes, with faults from outside."""
