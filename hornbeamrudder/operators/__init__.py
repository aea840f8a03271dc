"""Operator API and command-line client."""
