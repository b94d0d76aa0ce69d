"""Drivers, which run the effects of the core and post events to it."""
