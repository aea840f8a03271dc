"""Fleet control: placement, start, drain and stop of hosts."""
