"""Access to the platform's transactional table, object store and VM list."""
