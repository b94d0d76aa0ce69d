"""I/O-free core: a deterministic reducer from events to effects."""
