"""Load generators, demo, policy simulation and capacity measurements."""
