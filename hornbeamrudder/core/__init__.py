"""Data types, identifiers and errors shared by all packages."""
