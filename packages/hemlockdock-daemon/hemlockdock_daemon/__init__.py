"""Assemble a process from its settings."""
