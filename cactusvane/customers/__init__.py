"""Customers of the fleet: their keys, and whether their requests are admitted."""
