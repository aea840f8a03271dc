"""Choice of a worker."""
