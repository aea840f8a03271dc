"""YAML settings files, their schema and the TLS certificates they name."""
