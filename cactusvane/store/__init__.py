"""The platform's table, object store and VM list."""
