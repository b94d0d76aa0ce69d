"""Measures of the policy against baselines."""
