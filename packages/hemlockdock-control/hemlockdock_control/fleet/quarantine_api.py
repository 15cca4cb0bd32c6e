"""HTTP API with which the operators of a fleet list and release quarantines."""

from twisted.web.server import NOT_DONE_YET

from hemlockdock_control.admin.quarantine_list import quarantine_list
from hemlockdock_control.fleet.json_responses import json_response, refusal_response
from hemlockdock_core.commands import ReleaseQuarantine
from hemlockdock_core.errors import ErrorKind, Refusal

LIST_PATH = b"/v1/quarantines"
RELEASE_SUFFIX = b"/release"
ANSWER_TIMEOUT_S = 5.0
OPERATOR = "operator"


class QuarantineApi:
    """List quarantines as this member knows them, and release them through the leader.

    Parameters
    ----------
    proposer : Proposer
    machine : ClusterStateMachine
    """

    def __init__(self, proposer, machine):
        self._proposer = proposer
        self._machine = machine

    def handles(self, path):
        """Return whether a path belongs to this API.

        Parameters
        ----------
        path : bytes

        Returns
        -------
        bool
        """
        return path == LIST_PATH or path.startswith(LIST_PATH + b"/")

    def render(self, request):
        """Handle one HTTP request.

        Parameters
        ----------
        request : twisted.web.http.Request

        Returns
        -------
        bytes or int
        """
        path = request.path
        if request.method == b"GET" and path == LIST_PATH:
            return json_response(
                request, {"quarantines": quarantine_list(self._machine.state.crashes)}
            )
        key = path[len(LIST_PATH) + 1 : -len(RELEASE_SUFFIX)].decode(errors="replace")
        if request.method != b"POST" or not path.endswith(RELEASE_SUFFIX) or not key:
            return refusal_response(request, Refusal.of(ErrorKind.UNKNOWN_SERVICE, "no such call"))
        outcome = self._proposer.propose(ReleaseQuarantine(key, OPERATOR, 0), ANSWER_TIMEOUT_S)
        outcome.addCallback(self._released, request, key)
        return NOT_DONE_YET

    def _released(self, result, request, key):
        if request.channel is None:
            return
        if result.refusal is not None:
            request.write(refusal_response(request, result.refusal))
        else:
            request.write(json_response(request, {"fingerprint": key, "revision": result.revision}))
        request.finish()
