"""Inventory from the asset register, and rules."""
