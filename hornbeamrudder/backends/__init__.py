"""State and load of backend servers."""
