"""HTTP client, and clients of the services that nodes depend on."""
