"""Report to control what this entry sees of requests that crash endpoints."""

import logging

from hemlockdock_core.commands import RecordCrash, ReleaseQuarantine

logger = logging.getLogger(__name__)

# Control may be without a leader for a while; a crash reported later than this is old news.
REPORT_TIMEOUT_MS = 30_000
# Of the requests that were in flight at a crash, as many are reported.
MAX_REPORTED = 64
MAX_LOGGED_CHARACTERS = 500


class CrashReporter:
    """Propose to control what an entry saw.

    Parameters
    ----------
    gateway : Gateway
    node_id : str
    """

    def __init__(self, gateway, node_id):
        self._gateway = gateway
        self._node_id = node_id
        self._releasing = set()

    def report_crash(self, row, parts_by_fingerprint):
        """Report the crash of an endpoint.

        Parameters
        ----------
        row : EndpointRow
        parts_by_fingerprint : dict of str to tuple of str
            The requests that may explain it, each with the suspected parts of its prompt.
        """
        logger.warning(
            "endpoint crashed",
            extra={
                "endpoint": row.endpoint_id,
                "pool": row.pool,
                "software_version": row.software_version,
                "suspects": parts_by_fingerprint,
            },
        )
        reported = dict(sorted(parts_by_fingerprint.items())[:MAX_REPORTED])
        command = RecordCrash(
            row.endpoint_id, self._node_id, list(reported), 0, False, parts_by_fingerprint=reported
        )
        self._propose(command)

    def report_sound(self, key):
        """Report that a suspected or quarantined request or part of prompts was answered.

        Parameters
        ----------
        key : str
        """
        if key in self._releasing:
            return
        self._releasing.add(key)
        outcome = self._propose(ReleaseQuarantine(key, f"{self._node_id}: answered", 0))
        outcome.addBoth(lambda _: self._releasing.discard(key))

    def _propose(self, command):
        outcome = self._gateway.propose(command, REPORT_TIMEOUT_MS)
        return outcome.addErrback(self._not_reported, command)

    def _not_reported(self, failure, command):
        logger.warning(
            "report on a crash not committed",
            extra={
                "command": repr(command)[:MAX_LOGGED_CHARACTERS],
                "problem": failure.getErrorMessage(),
            },
        )
