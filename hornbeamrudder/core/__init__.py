"""Data types, identifiers and errors that all other packages import."""
