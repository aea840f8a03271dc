"""Retry budget and retry decisions."""
