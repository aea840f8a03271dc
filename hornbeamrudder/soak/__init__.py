"""Randomized soak of real node processes under faults from outside."""
