"""Configuration document: inventory from the asset register, and rules."""
