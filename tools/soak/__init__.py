"""Soak test: run a local fleet under seeded random faults and check its invariants."""
