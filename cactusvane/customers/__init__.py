"""Customers: their keys, the revocation of keys, and whether requests are admitted."""
