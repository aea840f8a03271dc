"""Adapter to the users' platform: translates its names, decides nothing."""
