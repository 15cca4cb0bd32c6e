"""Stand in for engines, the weight store and the platform list."""
