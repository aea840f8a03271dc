"""Placement and replacement of hosts."""
