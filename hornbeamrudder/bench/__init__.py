"""Load generator, demo and experiments."""
