"""HTTP interface for callers, and the node daemon."""
