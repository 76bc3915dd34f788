"""Counts of good requests, the report on error budgets, and the log trace of one request."""
