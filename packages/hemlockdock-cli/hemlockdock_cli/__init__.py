"""Command-line client for operators of hemlockdock."""
