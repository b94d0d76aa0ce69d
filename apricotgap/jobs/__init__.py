"""Jobs: pure decisions on jobs, task runs, workers and pools."""
