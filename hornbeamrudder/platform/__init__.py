"""Adapter that translates the platform's formats to and from core types.

It contains no policy.
"""
