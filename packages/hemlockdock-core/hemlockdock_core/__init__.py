"""Provide what every hemlockdock process shares."""
