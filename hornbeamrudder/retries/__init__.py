"""Retry budget and eligibility."""
