"""Ranks, fair shares and deadlines."""
