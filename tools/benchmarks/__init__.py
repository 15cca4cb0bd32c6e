"""Benchmarks of hemlockdock."""
