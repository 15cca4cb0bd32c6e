"""Refuse requests that crash the endpoints that run them."""

import logging

from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.suspect_keys import (
    CRASHES_BEFORE_QUARANTINE,
    PART_PREFIX,
    SAME_CRASH_MS,
    is_part,
    part_key,
)
from hemlockdock_core.wall_clock import wall_ms
from hemlockdock_entry.gateway.crash_reports import CrashReporter
from hemlockdock_entry.gateway.crash_watch import CrashWatch, EndpointRun
from hemlockdock_entry.gateway.part_quarantine import PartQuarantine
from hemlockdock_entry.gateway.prompt_parts import Prompt
from hemlockdock_entry.gateway.refusals import quarantine_refusal
from hemlockdock_entry.routing import CrashTracker, TrustLevel

logger = logging.getLogger(__name__)

# Many sound requests are in flight at one crash, hardly any at two.
CRASHES_BEFORE_RUN_APART = 2
MS_PER_S = 1_000


class Quarantine:
    """Refuse requests that crashed endpoints, by what entries saw and by what control committed.

    What this entry saw, and what the others told it, counts at once and without control.

    Parameters
    ----------
    gateway : Gateway
    node_id : str
    read_wall_ms : callable, optional
        Returns the wall-clock time in milliseconds since 1970.

    Attributes
    ----------
    watch : CrashWatch
    read_wall_ms : callable
    """

    def __init__(self, gateway, node_id, read_wall_ms=wall_ms):
        self._gateway = gateway
        self.read_wall_ms = read_wall_ms
        self._tracker = CrashTracker(CRASHES_BEFORE_QUARANTINE, SAME_CRASH_MS / MS_PER_S)
        self._parts = PartQuarantine()
        self._reporter = CrashReporter(gateway, node_id)
        self._row_by_key = {}
        self.watch = CrashWatch(
            gateway.clock,
            gateway.endpoints,
            self._is_in_service,
            self._on_crash,
            self._on_answered,
            gateway.endpoint_known,
        )

    def refusal(self, exchange):
        """Return why a request is not sent to an endpoint, or None if it may be.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        Refusal or None
        """
        table = self._gateway.table
        now_s = self._gateway.clock.seconds()
        now_ms = self.read_wall_ms()
        fingerprint = exchange.content.fingerprint
        level = self._tracker.trust_level(table, fingerprint, now_s, now_ms)
        if level is TrustLevel.REFUSED:
            crash_ids = self._tracker.crash_ids(table, fingerprint)
            left_ms = self._tracker.refused_for_ms(table, fingerprint, now_s, now_ms)
            message = "this request crashed the endpoints that ran it"
            return quarantine_refusal(exchange, fingerprint, crash_ids, left_ms, message)
        refused = self._parts.refused_part(exchange.content.prompt, table, now_s, now_ms)
        if refused is None:
            return None
        message = "prompts with a part of this one crashed the endpoints that ran them"
        crash_ids = list(refused.crash_ids)
        return quarantine_refusal(exchange, refused.key, crash_ids, refused.retry_after_ms, message)

    def refuses_part(self, part):
        """Return whether prompts with a part, and no other suspected one, are refused.

        Parameters
        ----------
        part : str

        Returns
        -------
        bool
        """
        now_s = self._gateway.clock.seconds()
        prompt = Prompt((part,))
        table = self._gateway.table
        return self._parts.refused_part(prompt, table, now_s, self.read_wall_ms()) is not None

    def runs_apart(self, exchange):
        """Return whether other requests should not run at the endpoint of a request.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        bool
        """
        return self.crash_count(exchange) >= CRASHES_BEFORE_RUN_APART

    def crash_count(self, exchange):
        """Return the number of crashes that a request, or a part of its prompt, may explain.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        int
        """
        table = self._gateway.table
        now_s = self._gateway.clock.seconds()
        whole = self._tracker.crash_count(
            table, exchange.content.fingerprint, now_s, self.read_wall_ms()
        )
        return max(whole, self._parts.crash_count(exchange.content.prompt.parts, table, now_s))

    def repeat(self, exchange, row):
        """Send a request again after an endpoint ended it.

        A request that was in flight at an earlier crash waits until it is known whether this
        endpoint crashed too.

        Parameters
        ----------
        exchange : ProxyExchange
        row : EndpointRow
        """
        if self.crash_count(exchange):
            self.watch.call_when_known(row, exchange.dispatch)
            return
        exchange.dispatch()

    def run_lost(self, exchange, row, progress):
        """Handle the loss of the connection on which an endpoint ran a request.

        Parameters
        ----------
        exchange : ProxyExchange
        row : EndpointRow
        progress : RunProgress
        """
        content = exchange.content
        is_suspect = not progress.has_continued
        parts = () if progress.has_carried_on or not is_suspect else content.prompt.parts
        self.watch.run_lost(EndpointRun(row, content.fingerprint, parts, is_suspect))

    def run_answered(self, exchange, row):
        """Handle a complete answer.

        Parameters
        ----------
        exchange : ProxyExchange
        row : EndpointRow
        """
        self.watch.run_answered(
            EndpointRun(row, exchange.content.fingerprint, exchange.content.prompt.parts)
        )

    def run_carried_on(self, exchange):
        """Handle that an endpoint has been writing an answer for a while.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        self._record_sound_parts(exchange.content.prompt.parts)

    def record_told_crash(self, endpoint_id, parts_by_fingerprint, sender):
        """Record a crash that another entry saw.

        Parameters
        ----------
        endpoint_id : str
        parts_by_fingerprint : dict of str to tuple of str
            The requests that may explain it, each with the suspected parts of its prompt.
        sender : str
            Node id of the entry.
        """
        self._record_crash(endpoint_id, parts_by_fingerprint, sender)

    def record_told_sound(self, key):
        """Record that another entry saw an answer to a suspect.

        Parameters
        ----------
        key : str
        """
        if is_part(key):
            self._parts.record_answer((key.removeprefix(PART_PREFIX),), self._now_s)
        else:
            self._tracker.record_success(key)

    def table_changed(self):
        """Log each step to quarantine and back, and compare them with what this entry knows."""
        table = self._gateway.table
        before = self._row_by_key
        if table.quarantine_by_fingerprint == before:
            return
        self._row_by_key = dict(table.quarantine_by_fingerprint)
        self._parts.table_changed(table)
        for key, row in self._row_by_key.items():
            if before.get(key) != row:
                _log_step(key, "quarantined" if row.refused else "suspect", row.crash_ids)
                self._report_if_sound(key)
        for key in before.keys() - self._row_by_key.keys():
            _log_step(key, "released", before[key].crash_ids)
            self._tracker.record_success(key)
            self._parts.forget(key.removeprefix(PART_PREFIX))

    def run_maintenance(self):
        """Report settled answers, and remove what has expired."""
        now_s = self._gateway.clock.seconds()
        self.watch.settle()
        self._tracker.remove_expired(now_s)
        self._parts.remove_expired(now_s)

    @property
    def _now_s(self):
        return self._gateway.clock.seconds()

    def _is_in_service(self, row):
        current = self._gateway.endpoint_row(row.endpoint_id)
        return current is not None and not current.leaving

    def _on_crash(self, row, runs):
        COUNTERS.increment("gateway_endpoint_crashes")
        self._gateway.gate.forget(row.endpoint_id)
        parts_by_fingerprint = {run.fingerprint: run.parts for run in runs if run.is_suspect}
        parts_by_fingerprint = self._record_crash(row.endpoint_id, parts_by_fingerprint)
        self._reporter.report_crash(row, parts_by_fingerprint)

    def _record_crash(self, endpoint_id, parts_by_fingerprint, observer=""):
        """Count a crash, and return those of its suspects that may explain it."""
        explaining = {}
        for fingerprint, parts in parts_by_fingerprint.items():
            if self._explains_crash(fingerprint, parts):
                explaining[fingerprint] = parts
        suspects = {}
        for fingerprint, parts in (explaining or parts_by_fingerprint).items():
            suspects[fingerprint] = self._parts.unproven(parts, self._now_s)
            self._tracker.record_crash(fingerprint, self._now_s, endpoint_id, observer)
        self._parts.record_crash(endpoint_id, suspects, self._now_s, observer)
        return suspects

    def _explains_crash(self, fingerprint, parts):
        table = self._gateway.table
        level = self._tracker.trust_level(table, fingerprint, self._now_s, self.read_wall_ms())
        return level is TrustLevel.REFUSED or self._parts.explains_crash(parts, table)

    def _on_answered(self, run):
        was_suspect = self._tracker.record_success(run.fingerprint)
        self._report_sound(run.fingerprint, was_suspect)
        self._record_sound_parts(run.parts)

    def _record_sound_parts(self, parts):
        suspects = self._parts.record_answer(parts, self._now_s)
        for part in parts:
            self._report_sound(part_key(part), part in suspects)

    def _report_sound(self, key, was_suspect):
        if was_suspect:
            self._reporter.tell_sound(key)
        if key in self._row_by_key:
            self._reporter.report_sound(key)

    def _report_if_sound(self, key):
        if not is_part(key):
            return
        part = key.removeprefix(PART_PREFIX)
        if self._parts.sound.contains(part, self._gateway.clock.seconds()):
            self._reporter.report_sound(key)


def _log_step(key, step, crash_ids):
    COUNTERS.increment("gateway_quarantine_steps", step=step)
    logger.info("quarantine changed", extra={"key": key, "step": step, "crashes": crash_ids})
