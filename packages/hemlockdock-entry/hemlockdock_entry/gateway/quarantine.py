"""Refuse requests that crash the endpoints that run them."""

import logging

from hemlockdock_core.commands import RecordCrash, ReleaseQuarantine
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.wall_clock import wall_ms
from hemlockdock_entry.gateway.crash_watch import CrashWatch
from hemlockdock_entry.routing import CrashTracker, TrustLevel

logger = logging.getLogger(__name__)

# An entry sees only its own requests at an endpoint, so chance explains two crashes more often.
CRASHES_BEFORE_REFUSAL = 3
# Control may be without a leader for a while; a crash reported later than this is old news.
REPORT_TIMEOUT_MS = 30_000
# Of the requests that were in flight at a crash, as many are reported.
MAX_REPORTED = 64


class Quarantine:
    """Refuse requests that crashed endpoints, by what this entry saw and by what control committed.

    Parameters
    ----------
    gateway : Gateway
    node_id : str
    read_wall_ms : callable, optional
        Returns the wall-clock time in milliseconds since 1970.
    """

    def __init__(self, gateway, node_id, read_wall_ms=wall_ms):
        self._gateway = gateway
        self._node_id = node_id
        self._wall_ms = read_wall_ms
        self._tracker = CrashTracker(CRASHES_BEFORE_REFUSAL)
        self._row_by_fingerprint = {}
        self._watch = CrashWatch(
            gateway.clock,
            gateway.endpoints,
            self._is_in_service,
            self._on_crash,
            self._on_answered,
            gateway.endpoint_known,
        )
        self.is_in_doubt = self._watch.is_in_doubt
        self.call_when_known = self._watch.call_when_known
        self.run_lost = self._watch.run_lost
        self.run_answered = self._watch.run_answered
        self.idle_connection_lost = self._watch.idle_connection_lost

    def refusal(self, exchange):
        """Return why a request is not sent to an endpoint, or None if it may be.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        Refusal or None
        """
        if self._trust_level(exchange) is not TrustLevel.REFUSED:
            return None
        return self._refuse(exchange)

    def repeat(self, exchange, row):
        """Send a request again after an endpoint ended it.

        A request that was in flight at an earlier crash waits until it is known whether this
        endpoint crashed too.

        Parameters
        ----------
        exchange : ProxyExchange
        row : EndpointRow
        """
        if self._trust_level(exchange) is TrustLevel.TRUSTED:
            exchange.dispatch()
            return
        self._watch.call_when_known(row, exchange.dispatch)

    def table_changed(self):
        """Log each step to quarantine and back, and forget what control has released."""
        row_by_fingerprint = dict(self._gateway.table.quarantine_by_fingerprint)
        before = self._row_by_fingerprint
        if row_by_fingerprint == before:
            return
        self._row_by_fingerprint = row_by_fingerprint
        for fingerprint, row in row_by_fingerprint.items():
            if before.get(fingerprint) != row:
                step = "quarantined" if row.refused else "suspect"
                logger.info(
                    "quarantine changed",
                    extra={"fingerprint": fingerprint, "step": step, "crashes": row.crash_ids},
                )
        for fingerprint in before.keys() - row_by_fingerprint.keys():
            self._tracker.record_success(fingerprint)
            logger.info(
                "quarantine changed",
                extra={"fingerprint": fingerprint, "step": "released", "crashes": ()},
            )

    def run_maintenance(self):
        """Report settled answers, and remove what has expired."""
        self._watch.settle()
        self._tracker.remove_expired(self._gateway.clock.seconds())

    def _refuse(self, exchange):
        fingerprint = exchange.fingerprint
        table = self._gateway.table
        now_s = self._gateway.clock.seconds()
        now_ms = self._wall_ms()
        COUNTERS.increment("gateway_quarantine_refusals")
        crash_ids = self._tracker.crash_ids(table, fingerprint)
        logger.info(
            "quarantined request refused",
            extra={
                "request": exchange.request_id.decode("latin-1"),
                "fingerprint": fingerprint,
                "crashes": crash_ids,
            },
        )
        message = "this request crashed the endpoints that ran it"
        if exchange.may_have_run:
            return Refusal.of(ErrorKind.ENDPOINT_LOST, message)
        left_ms = self._tracker.refused_for_ms(table, fingerprint, now_s, now_ms)
        return Refusal.of(ErrorKind.QUARANTINED, message, retry_after_ms=left_ms)

    def _trust_level(self, exchange):
        return self._tracker.trust_level(
            self._gateway.table,
            exchange.fingerprint,
            self._gateway.clock.seconds(),
            self._wall_ms(),
        )

    def _is_in_service(self, row):
        current = self._gateway.endpoint_row(row.endpoint_id)
        return current is not None and not current.leaving

    def _on_crash(self, row, fingerprints):
        now_s = self._gateway.clock.seconds()
        for fingerprint in fingerprints:
            self._tracker.record_crash(fingerprint, now_s, row.endpoint_id)
        COUNTERS.increment("gateway_endpoint_crashes")
        logger.warning(
            "endpoint crashed",
            extra={"endpoint": row.endpoint_id, "pool": row.pool, "suspects": fingerprints},
        )
        reported = fingerprints[:MAX_REPORTED]
        self._propose(RecordCrash(row.endpoint_id, self._node_id, reported, 0, is_complete=False))

    def _on_answered(self, fingerprint):
        self._tracker.record_success(fingerprint)
        if fingerprint in self._gateway.table.quarantine_by_fingerprint:
            self._propose(ReleaseQuarantine(fingerprint, f"{self._node_id}: answered", 0))

    def _propose(self, command):
        outcome = self._gateway.propose(command, REPORT_TIMEOUT_MS)
        outcome.addErrback(self._not_reported, command)

    def _not_reported(self, failure, command):
        logger.warning(
            "report on a crash not committed",
            extra={"command": repr(command)[:500], "problem": failure.getErrorMessage()},
        )
