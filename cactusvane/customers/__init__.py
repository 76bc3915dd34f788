"""Customers: their keys, the revocation of keys, and quotas."""
