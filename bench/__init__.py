"""Cost of a reducer step and of a request."""
