"""Define the routes of the operators' API."""

import logging

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.internet.task import deferLater

from hemlockdock_control.admin.member_changes import MemberChanges
from hemlockdock_control.admin.operators import Operators
from hemlockdock_control.admin.rate_limiter import RateLimiter
from hemlockdock_core.commands import ReleaseQuarantine, SubmitManifest
from hemlockdock_core.errors import ErrorKind, InvalidInputError, Refusal
from hemlockdock_core.manifest import manifest_digest, parse_manifest
from hemlockdock_core.metrics import COUNTERS, GAUGES, LATENCIES
from hemlockdock_core.metrics.exposition import exposition

logger = logging.getLogger(__name__)

REQUESTS_PER_S = 50
BURST_REQUESTS = 200
IN_FORCE_WAIT_MS = 2_000
MAX_WAIT_MS = 18_000
IN_FORCE_POLL_S = 0.1
STOP_TIMEOUT_S = 5
RELAY_TIMEOUT_S = 10.0
MAX_FINGERPRINT = 256


class AdminApi:
    """Handle operators' requests on any member.

    Parameters
    ----------
    reactor : twisted reactor
    settings : hemlockdock_core.settings.Settings
    replicator : Replicator
    proposer : Proposer
    pages : AdminPages
    """

    app = Klein()

    def __init__(self, reactor, settings, replicator, proposer, pages):
        self._reactor = reactor
        self._settings = settings
        self._replicator = replicator
        self._proposer = proposer
        self._pages = pages
        self._member_changes = MemberChanges(replicator, proposer)
        self._change_by_action = {
            "add": self._member_changes.add,
            "promote": self._member_changes.promote,
            "remove": self._member_changes.remove,
        }
        self._operators = Operators(settings)
        self._limiter = RateLimiter(REQUESTS_PER_S, BURST_REQUESTS)
        self._active_requests = 0
        self._idle = None

    def idle(self):
        """Return a Deferred that fires once no request is in progress.

        Returns
        -------
        Deferred
        """
        if not self._active_requests:
            return succeed(None)
        self._idle = Deferred()
        self._idle.addTimeout(STOP_TIMEOUT_S, self._reactor)
        self._idle.addErrback(
            lambda _: logger.warning("stopped with operators' requests in progress")
        )
        return self._idle

    @app.route("/v1/manifest", methods=["POST"])
    def manifest(self, request):
        """Submit a manifest."""
        return self._handle(request, self._submit)

    @app.route("/v1/status", methods=["GET"])
    def status(self, request):
        """Return the status of the cluster."""
        return self._handle(
            request, lambda operator, req: self._page("status", {}, allow_local=True)
        )

    @app.route("/v1/audit", methods=["GET"])
    def audit(self, request):
        """List records of the audit trail."""
        names = ("since_ms", "kind", "subject")
        return self._handle(
            request, lambda operator, req: self._page("audit", _arguments(req, names))
        )

    @app.route("/v1/explain/<model>", methods=["GET"])
    def explain(self, request, model):
        """Explain why a model is or is not loaded."""
        arguments = {"model": model}
        return self._handle(request, lambda operator, req: self._page("explain", arguments))

    @app.route("/v1/jobs", methods=["GET"])
    def jobs(self, request):
        """List jobs."""
        return self._handle(request, lambda operator, req: self._page("jobs", {}))

    @app.route("/v1/quarantines", methods=["GET"])
    def quarantines(self, request):
        """List quarantined requests and parts of prompts, and suspects."""
        return self._handle(request, lambda operator, req: self._page("quarantines", {}))

    @app.route("/v1/quarantines/<fingerprint>/release", methods=["POST"])
    def release(self, request, fingerprint):
        """Release a fingerprint from quarantine."""
        if len(fingerprint) > MAX_FINGERPRINT:
            return _refuse(request, Refusal.of(ErrorKind.BAD_REQUEST, "a fingerprint"))
        return self._handle(request, lambda operator, req: self._release(operator, fingerprint))

    @app.route("/v1/members/<member_id>/<action>", methods=["POST"])
    def members(self, request, member_id, action):
        """Add, promote or remove a member."""
        change = self._change_by_action.get(action)
        if change is None:
            expected = ", ".join(self._change_by_action)
            return _refuse(request, Refusal.of(ErrorKind.BAD_REQUEST, f"one of {expected}"))
        return self._handle(request, lambda operator, req: change(operator, member_id))

    @app.route("/v1/members/<old_id>/replace/<new_id>", methods=["POST"])
    def replace_member(self, request, old_id, new_id):
        """Replace a member with another that has caught up."""
        return self._handle(
            request, lambda operator, req: self._member_changes.replace(operator, old_id, new_id)
        )

    @app.route("/healthz", methods=["GET"])
    def healthz(self, request):
        """Report whether this member is healthy."""
        if self._replicator.failure is None:
            return _json(request, {"healthy": True})
        refusal = Refusal.of(ErrorKind.STORAGE_FAILED, str(self._replicator.failure))
        return _refuse(request, refusal)

    @app.route("/readyz", methods=["GET"])
    def readyz(self, request):
        """Report whether this member is in contact with a leader."""
        lease_s = 2 * self._settings.control.election_ms / 1_000
        if self._replicator.leader_id and self._replicator.last_leader_contact_s <= lease_s:
            return _json(request, {"ready": True, "leader_id": self._replicator.leader_id})
        return _refuse(request, Refusal.of(ErrorKind.NO_CONTROL, "no leader was heard lately"))

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request):
        """Return the metrics in the Prometheus text format."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return exposition(COUNTERS, LATENCIES, self._pages.gauges(), GAUGES)

    def _handle(self, request, work):
        refusal = self._refusal(request)
        if refusal is not None:
            return _refuse(request, refusal)
        operator = self._identify(request)
        if operator.is_err():
            COUNTERS.increment("admin_unauthorized")
            return _refuse(request, operator.err())
        self._active_requests += 1
        outcome = work(operator.ok(), request)
        outcome.addCallback(_write, request)
        outcome.addErrback(_failed, request)
        outcome.addBoth(self._request_finished)
        return outcome

    def _refusal(self, request):
        client = request.getClientAddress().host
        if not self._limiter.allow(client, self._reactor.seconds()):
            COUNTERS.increment("admin_rate_limited")
            return Refusal.of(ErrorKind.RATE_LIMITED, f"at most {REQUESTS_PER_S} requests a second")
        return None

    def _identify(self, request):
        header = request.getHeader("Authorization") or ""
        return self._operators.authenticate(header, request.getClientAddress().host)

    def _request_finished(self, result):
        self._active_requests -= 1
        if not self._active_requests and self._idle is not None and not self._idle.called:
            self._idle.callback(None)
        return result

    @inlineCallbacks
    def _page(self, name, arguments, allow_local=False):
        if self._replicator.is_leader:
            result = yield self._pages.consistent_page(name, arguments)
        else:
            result = yield self._proposer.query(name, arguments)
        if result.refusal is None:
            return msgspec.json.decode(result.payload) | {"strict": True}
        if not allow_local:
            return result.refusal
        # The page matters most when no leader answers, so fall back to the local state.
        result = self._pages.local_page(name, arguments)
        return msgspec.json.decode(result.payload) | {"strict": False}

    @inlineCallbacks
    def _submit(self, operator, request):
        wait_ms = _wait_ms(request)
        try:
            manifest = parse_manifest(request.content.read(), "manifest")
        except InvalidInputError as error:
            return _invalid(error)
        if wait_ms is None:
            return Refusal.of(ErrorKind.BAD_REQUEST, f"wait_ms from 0 to {MAX_WAIT_MS}")
        body = msgspec.json.encode(manifest.model_dump(mode="json"), order="sorted")
        digest = manifest_digest(manifest)
        command = SubmitManifest(manifest.number, digest, body, operator, 0)
        result = yield self._proposer.propose(command, RELAY_TIMEOUT_S)
        if result.refusal is not None:
            return result.refusal
        reached = yield self._wait_in_force(result.revision, wait_ms)
        return {
            "number": manifest.number,
            "digest": digest,
            "revision": result.revision,
            "in_force": reached,
        }

    @inlineCallbacks
    def _wait_in_force(self, revision, wait_ms):
        until_s = self._reactor.seconds() + wait_ms / 1_000
        while True:
            page = yield self._page("in_force", {"revision": str(revision)})
            known = not isinstance(page, Refusal)
            if known and not page["missing"]:
                return page
            if self._reactor.seconds() >= until_s:
                # The manifest is accepted even if it is unknown where it is in force.
                return page if known else None
            yield deferLater(self._reactor, IN_FORCE_POLL_S)

    @inlineCallbacks
    def _release(self, operator, fingerprint):
        result = yield self._proposer.propose(
            ReleaseQuarantine(fingerprint, operator, 0), RELAY_TIMEOUT_S
        )
        if result.refusal is not None:
            return result.refusal
        return {"fingerprint": fingerprint, "revision": result.revision}


def _wait_ms(request):
    text = request.args.get(b"wait_ms", [str(IN_FORCE_WAIT_MS).encode()])[0]
    if not text.isdigit() or int(text) > MAX_WAIT_MS:
        return None
    return int(text)


def _arguments(request, names):
    arguments = {}
    for name in names:
        values = request.args.get(name.encode())
        if values:
            arguments[name] = values[0].decode(errors="replace")
    return arguments


def _invalid(error):
    refusal = Refusal.of(ErrorKind.BAD_REQUEST, "the manifest has bad fields")
    fields = [{"path": item.path, "expected": item.expected} for item in error.errors]
    return refusal, fields


def _write(page, request):
    if isinstance(page, Refusal):
        return _refuse(request, page)
    if isinstance(page, tuple):
        refusal, fields = page
        return _refuse(request, refusal, fields)
    return _json(request, page)


def _failed(failure, request):
    COUNTERS.increment("admin_failures")
    logger.error("operator's request failed", extra={"problem": failure.getTraceback()})
    return _refuse(request, Refusal.of(ErrorKind.INTERNAL, "see this member's log"))


def _refuse(request, refusal, fields=None):
    request.setResponseCode(refusal.status)
    if refusal.retry_after_ms is not None:
        request.setHeader("Retry-After", str(max(1, refusal.retry_after_ms // 1_000)))
    body = refusal.body()
    if fields is not None:
        body["error"]["fields"] = fields
    return _json(request, body)


def _json(request, body):
    request.setHeader("Content-Type", "application/json")
    return msgspec.json.encode(body)
