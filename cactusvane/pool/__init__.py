"""Target pools: outlier ejection, the capacity floor, draining and warm-up of targets."""
