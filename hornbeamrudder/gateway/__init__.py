"""Request path of a node: HTTP forwarding, admission, placing, duties."""
