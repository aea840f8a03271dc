"""Leases with fencing numbers."""
