"""Concurrency limits of targets: slots, credits for them, and queues of waiting requests."""
