"""HTTP API with which the operators of a fleet see the limits that endpoints name."""

from hemlockdock_control.fleet.json_responses import json_response, refusal_response
from hemlockdock_core.errors import ErrorKind, Refusal

LIST_PATH = b"/v1/limits"


class LimitsApi:
    """List the limits that this member knows, with the permits that it has issued as the leader.

    Parameters
    ----------
    machine : ClusterStateMachine
    limits : RequestLimits
    clock : twisted reactor
    """

    def __init__(self, machine, limits, clock):
        self._machine = machine
        self._limits = limits
        self._clock = clock

    def render(self, request):
        """Handle one HTTP request.

        Parameters
        ----------
        request : twisted.web.http.Request

        Returns
        -------
        bytes
        """
        if request.method != b"GET":
            return refusal_response(request, Refusal.of(ErrorKind.UNKNOWN_SERVICE, "no such call"))
        now_s = self._clock.seconds()
        items = []
        for endpoint_id, row in sorted(self._machine.state.endpoints.row_by_id.items()):
            if row.limit_per_s is None:
                continue
            item = {"endpoint": endpoint_id, "pool": row.pool, "limit_per_s": row.limit_per_s}
            item["issued_per_s"] = self._limits.issued_per_s(endpoint_id, now_s)
            items.append(item)
        return json_response(request, {"limits": items})
