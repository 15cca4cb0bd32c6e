"""Own sockets, timers and the state of requests."""
