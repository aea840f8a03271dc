"""HTTP interface towards callers, and the node daemon."""
