"""Scripts for development of the project."""
