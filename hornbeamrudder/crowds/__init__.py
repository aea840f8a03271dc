"""Clients outside the limits, played against real node processes."""
