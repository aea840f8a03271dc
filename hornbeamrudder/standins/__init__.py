"""Small stand-ins of outside systems for tests."""
