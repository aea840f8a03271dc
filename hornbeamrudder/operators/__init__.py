"""Operator API and its command-line client."""
