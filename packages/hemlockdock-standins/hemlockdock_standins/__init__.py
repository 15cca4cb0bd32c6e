"""Stand-ins for engines, the weight store, services and the platform, for tests and demos."""
