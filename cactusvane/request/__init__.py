"""Handling of one request: admission, attempts, retry budget, deadline and verdict."""
