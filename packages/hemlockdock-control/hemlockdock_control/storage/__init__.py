"""Durable storage of a member: write-ahead log, snapshots and identity."""
