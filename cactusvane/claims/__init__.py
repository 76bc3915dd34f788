"""Claims of idempotency keys: a key runs at most once, whichever VMs its repeats reach."""
