"""Run a fleet's real processes under faults drawn from a seed, and check what must always hold."""
