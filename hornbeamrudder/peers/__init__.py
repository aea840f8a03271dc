"""Exchange between nodes."""
