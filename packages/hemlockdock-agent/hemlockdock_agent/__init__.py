"""Guard one endpoint: its orders and its requests."""
