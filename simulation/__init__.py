"""Simulation of job load on shards and pools, in virtual time and without network."""
