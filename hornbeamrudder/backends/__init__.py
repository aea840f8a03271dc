"""Health state, load and HTTP client of backend servers."""
