"""Answers of model engines, whole and resumable."""
