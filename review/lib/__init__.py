"""Stand-ins that the cases of the review share; they need Python's standard library only."""
