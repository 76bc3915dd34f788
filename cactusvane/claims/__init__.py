"""Claims of idempotency keys: a key runs at most once, whichever VMs its repeats are sent to."""
