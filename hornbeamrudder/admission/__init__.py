"""Admission control: priority ranks, fair queueing and deadlines."""
