"""One instance on the platform: membership, ownership and the loops that do I/O."""
