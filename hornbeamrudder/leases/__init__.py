"""Leases with fencing numbers, stored in the table service."""
