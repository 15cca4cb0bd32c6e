"""Measurements of the resource slopes on which docs/CAPACITY.md is based."""
