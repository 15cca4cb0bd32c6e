"""Distinguish engine crashes from broken connections, and report crashes."""

import logging
from functools import partial

from hemlockdock_agent.requests.crash_record import CrashRecord
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.messages import CrashReport
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

MAX_PROBES = 3
PROBE_INTERVAL_S = 0.1
REPORT_REPEAT_MS = 500
MAX_RESUMPTIONS = 3


class CrashDetector:
    """Distinguish engine crashes from broken connections, and report crashes to control.

    Parameters
    ----------
    reactor : twisted reactor
    name : str
        Prefix of crash ids, unique for each start of the agent.
    gate : RequestGate
    poll : callable
        Requests the engine's inventory, returns a Deferred.
    send : callable
        Takes a message for control.
    now_ms : callable
        Returns monotonic milliseconds.

    Attributes
    ----------
    requests : RequestExecutor
        Set after construction, since the two objects refer to each other.
    """

    def __init__(self, reactor, name, gate, poll, send, now_ms):
        self._reactor = reactor
        self._name = name
        self._gate = gate
        self._poll = poll
        self._send = send
        self._now_ms = now_ms
        self._disconnected = []
        self._delayed_call = None
        self._probing = False
        self._stopped = False
        self._record_by_boot = {}
        self.requests = None

    def stop(self):
        """Stop probing the engine."""
        self._stopped = True
        if self._delayed_call is not None:
            self._delayed_call.cancel()
            self._delayed_call = None

    def connection_lost(self, run):
        """Probe the engine after the connection of a run broke.

        Parameters
        ----------
        run : Run
        """
        run.in_doubt = True
        self._disconnected.append(run)
        if not self._probing:
            self._probing = True
            # Copied at the first loss, since the connections of a crashed engine break one by
            # one.
            in_flight = list(self._gate.run_by_key.values())
            self._probe(MAX_PROBES, in_flight)

    def resend_reports(self, table):
        """Resend the crash reports that the routing table does not reflect yet.

        Parameters
        ----------
        table : RoutingTable
        """
        now_ms = self._now_ms()
        for record in self._record_by_boot.values():
            if not record.is_acknowledged(table) and now_ms >= record.repeat_ms:
                record.mark_sent(now_ms + REPORT_REPEAT_MS)
                self._send(record.report)

    def _probe(self, probes_left, in_flight):
        self._delayed_call = None
        deferred = self._poll()
        deferred.addCallback(partial(self._probe_finished, probes_left, in_flight))

    def _probe_finished(self, probes_left, in_flight, inventory):
        if self._stopped:
            return
        if inventory is None and probes_left > 1:
            self._delayed_call = self._reactor.callLater(
                PROBE_INTERVAL_S, self._probe, probes_left - 1, in_flight
            )
            return
        self._probing = False
        disconnected, self._disconnected = self._disconnected, []
        boot_id = inventory.boot_id if inventory is not None else ""
        crashed = [run for run in in_flight if run.boot_id != boot_id]
        if crashed:
            self._report(crashed)
        for run in disconnected:
            if run.boot_id == boot_id:
                self._recover(run)
        for run in crashed:
            refusal = Refusal.of(ErrorKind.ENDPOINT_LOST, "the engine crashed")
            self.requests.fail(run, refusal)

    def _recover(self, run):
        if run.streaming and run.status and run.resumptions < MAX_RESUMPTIONS:
            self.requests.resume_run(run)
            return
        kind = ErrorKind.STREAM_STALLED if run.offset else ErrorKind.ENGINE_FAILED
        self.requests.fail(run, Refusal.of(kind, "the engine broke the connection"))

    def _report(self, crashed):
        boot_id = crashed[0].boot_id
        if boot_id in self._record_by_boot:
            return
        fingerprints = sorted({run.dispatch.fingerprint for run in crashed} - {""})
        COUNTERS.increment("agent_engine_crashes")
        logger.warning("engine crashed", extra={"boot": boot_id, "in_flight": len(crashed)})
        report = CrashReport(f"{self._name}-{boot_id}", fingerprints)
        self._record_by_boot[boot_id] = CrashRecord(report, self._now_ms())
