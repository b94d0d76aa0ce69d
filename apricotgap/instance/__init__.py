"""An instance on the platform: membership, shard ownership and I/O loops."""
