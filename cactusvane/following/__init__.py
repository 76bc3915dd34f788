"""Replication of the platform's tables to all entries, with few reads for a whole fleet."""
