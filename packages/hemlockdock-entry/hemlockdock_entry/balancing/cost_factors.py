"""Cost factors shared by the load balancer and the health tracker."""

# An endpoint in another failure domain is selected only if its load is lower by this factor.
OTHER_DOMAIN_LOAD_FACTOR = 1.15
# An endpoint that fails every request still gets a few, which show when it has recovered.
MAX_FAILURE_RATE = 0.9
