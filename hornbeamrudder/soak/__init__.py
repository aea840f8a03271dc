"""Soak test: node processes under randomized fault injection."""
