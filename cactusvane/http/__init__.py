"""HTTP on both sides, through h11."""
