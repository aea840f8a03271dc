"""Versions of the configuration and the right to admit."""
