"""Decide which waiting request is served next, and where."""
