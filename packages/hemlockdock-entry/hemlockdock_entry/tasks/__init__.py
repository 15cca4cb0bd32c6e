"""Handle requests over their lifetime: timers, messages to agents and request state."""
