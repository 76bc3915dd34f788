"""Slots of targets: limits, credits and queues."""
