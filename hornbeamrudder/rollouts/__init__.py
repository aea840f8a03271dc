"""Roll-outs: moves the traffic of a service to a new software version."""
