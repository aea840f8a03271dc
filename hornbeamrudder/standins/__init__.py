"""Stand-ins for external systems, used in tests and experiments."""
