"""Job scheduling: decisions on jobs, task runs, workers and pools, free of I/O."""
