"""YAML settings of the daemons."""
