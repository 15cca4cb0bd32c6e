"""Seeded request traces of the two deployments, and their replay in virtual time."""
