"""Generate seeded request traces of two deployments and replay them in virtual time."""
