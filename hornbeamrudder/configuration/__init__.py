"""Configuration versions, members and the admission lease of a node."""
