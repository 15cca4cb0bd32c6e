"""Measure slopes that docs/CAPACITY.md works from."""
