"""Quotas of customers, kept by all entries of the fleet together."""
