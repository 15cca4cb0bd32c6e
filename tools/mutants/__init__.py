"""Deliberate faults, by package."""
