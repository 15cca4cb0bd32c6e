"""Factors of the cost of an endpoint that hold however its load is known."""

# An endpoint in another failure domain is selected only if its load is lower by this factor.
OTHER_DOMAIN_LOAD_FACTOR = 1.15
MAX_FAILURE_RATE = 0.9
