"""Copies of the platform's tables, kept up to date by few reads for a whole fleet."""
