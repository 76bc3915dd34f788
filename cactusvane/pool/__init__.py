"""The targets of a service: evidence, ejection, floor, leaving and warm-up."""
