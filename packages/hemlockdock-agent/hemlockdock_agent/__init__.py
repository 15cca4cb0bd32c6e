"""Control access to one endpoint: its orders and its requests."""
