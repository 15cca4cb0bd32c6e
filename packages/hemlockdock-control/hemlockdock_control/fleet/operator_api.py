"""HTTP API with which operators submit and read routes, and see quarantines and limits."""

import logging
import zlib

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from hemlockdock_control.fleet.json_responses import json_response, refusal_response
from hemlockdock_control.fleet.limits_api import LIST_PATH, LimitsApi
from hemlockdock_control.fleet.quarantine_api import QuarantineApi
from hemlockdock_core.commands import SubmitRoutes
from hemlockdock_core.errors import ErrorKind, InvalidInputError, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.routes import parse_routes

logger = logging.getLogger(__name__)

# Operators switch to another member after one second without a response.
ANSWER_TIMEOUT_S = 0.9
COMPRESSION_LEVEL = 1
MANIFEST_SOURCE = "routes"


class RouteApi(Resource):
    """Accept route manifests and return the one in force.

    Parameters
    ----------
    reactor : twisted reactor
    wire : Wire
    proposer : Proposer
    machine : ClusterStateMachine
    read_document : callable
        Returns a Deferred of the compressed document in force, read from the leader; it fails if
        no member can confirm which one that is.
    limits : RequestLimits
    """

    isLeaf = True

    def __init__(self, reactor, wire, proposer, machine, read_document, limits):
        super().__init__()
        self._reactor = reactor
        self._wire = wire
        self._proposer = proposer
        self._machine = machine
        self._read_document = read_document
        self._quarantines = QuarantineApi(proposer, machine)
        self._limits = LimitsApi(machine, limits, reactor)

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
        paths = self._wire.operator_paths
        if request.method == b"POST" and path == paths.submit:
            return self._submit(request)
        if request.method == b"GET" and path == paths.read:
            return self._read(request)
        if path == LIST_PATH:
            return self._limits.render(request)
        if self._quarantines.handles(path):
            return self._quarantines.render(request)
        return refusal_response(request, Refusal.of(ErrorKind.UNKNOWN_SERVICE, "no such call"))

    def _submit(self, request):
        body = request.content.read()
        try:
            manifest = parse_routes(self._wire, body, MANIFEST_SOURCE)
        except InvalidInputError as error:
            COUNTERS.increment("routes_refused")
            logger.info("routes refused", extra={"problem": str(error)[:500]})
            return refusal_response(request, Refusal.of(ErrorKind.BAD_REQUEST, str(error)))
        in_force = self._machine.state.routes.number
        if in_force is not None and manifest.number <= in_force:
            logger.info("routes superseded", extra={"number": manifest.number, "by": in_force})
            return _accepted(request, in_force)
        document = zlib.compress(body, COMPRESSION_LEVEL)
        command = SubmitRoutes(manifest, document, "operator", 0)
        outcome = self._proposer.propose(command, ANSWER_TIMEOUT_S)
        outcome.addTimeout(ANSWER_TIMEOUT_S, self._reactor)
        outcome.addCallbacks(
            self._submit_done,
            _call_failed,
            callbackArgs=[request, manifest.number],
            errbackArgs=[request],
        )
        return NOT_DONE_YET

    def _submit_done(self, result, request, number):
        if result.refusal is not None:
            logger.info(
                "routes not committed",
                extra={"number": number, "problem": result.refusal.message},
            )
            _write_response(
                request, refusal_response(request, _control_unavailable(result.refusal.message))
            )
            return
        logger.info(
            "routes acknowledged",
            extra={"number": number, "revision": result.revision, "outcome": result.state},
        )
        _write_response(request, _accepted(request, number))

    def _read(self, request):
        outcome = self._read_document()
        outcome.addTimeout(ANSWER_TIMEOUT_S, self._reactor)
        outcome.addCallbacks(
            self._read_done, _call_failed, callbackArgs=[request], errbackArgs=[request]
        )
        return NOT_DONE_YET

    def _read_done(self, document, request):
        if not document:
            _write_response(
                request,
                refusal_response(request, _control_unavailable("no routes are in force yet")),
            )
            return
        request.setHeader(b"Content-Type", b"application/json")
        _write_response(request, zlib.decompress(document))


def _control_unavailable(message):
    return Refusal.of(ErrorKind.NO_CONTROL, message)


def _call_failed(failure, request):
    logger.info("operator request failed", extra={"problem": failure.getErrorMessage()})
    _write_response(request, refusal_response(request, _control_unavailable("no leader answered")))


def _accepted(request, number):
    return json_response(request, {"in_force": number})


def _write_response(request, body):
    if request.channel is None:
        # The client has disconnected; a committed manifest stays in force.
        return
    request.write(body)
    request.finish()
