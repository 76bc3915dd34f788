"""The life of one request: attempts, deadline and verdict."""
