"""Stand-ins for the scripts of the review."""
