"""Accept, admit, route and answer callers' requests."""
