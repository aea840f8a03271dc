"""Serving system for model engines and plain services."""
