"""Messages and connections between nodes."""
