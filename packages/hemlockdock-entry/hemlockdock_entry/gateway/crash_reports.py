"""Report to control and other entries what this one sees of requests that crash endpoints."""

import logging

from hemlockdock_core.commands import RecordCrash, ReleaseQuarantine
from hemlockdock_core.messages import CrashNotice, SoundNotice

logger = logging.getLogger(__name__)

# Control may be without a leader for a while; a crash reported later than this is old news.
REPORT_TIMEOUT_MS = 30_000
# Dozens of requests are answered shortly after the crash that made them suspects.
RELEASE_DELAY_S = 0.05
# Of the requests that were in flight at a crash, as many are reported.
MAX_REPORTED = 64
# Parts of their prompts, over all of them; a client may name thousands.
MAX_REPORTED_PARTS = 256
MAX_LOGGED_CHARACTERS = 500


class CrashReporter:
    """Propose to control what an entry saw, and tell the other entries, which may not hear it.

    Parameters
    ----------
    gateway : Gateway
    node_id : str
    """

    def __init__(self, gateway, node_id):
        self._gateway = gateway
        self._node_id = node_id
        self._sound_keys = set()
        self._releasing = set()
        self._told_keys = set()
        self._tell_call = None
        self._release_call = None

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
        if not parts_by_fingerprint:
            return
        reported = _limited(parts_by_fingerprint)
        self._gateway.other_entries.tell(CrashNotice(row.endpoint_id, reported))
        command = RecordCrash(
            row.endpoint_id, self._node_id, list(reported), 0, False, parts_by_fingerprint=reported
        )
        self._propose(command)

    def tell_sound(self, key):
        """Tell the other entries that a request or part of prompts that they suspect was answered.

        Parameters
        ----------
        key : str
        """
        self._told_keys.add(key)
        if self._tell_call is None:
            self._tell_call = self._gateway.clock.callLater(RELEASE_DELAY_S, self._tell)

    def report_sound(self, key):
        """Report that a suspected or quarantined request or part of prompts was answered.

        Parameters
        ----------
        key : str
        """
        if key in self._releasing:
            return
        self._sound_keys.add(key)
        if self._release_call is None:
            self._release_call = self._gateway.clock.callLater(RELEASE_DELAY_S, self._release)

    def _tell(self):
        self._tell_call = None
        keys = sorted(self._told_keys)
        self._told_keys = set()
        self._gateway.other_entries.tell(SoundNotice(keys))

    def _release(self):
        """Release all that was answered lately, with one command."""
        self._release_call = None
        keys = sorted(self._sound_keys)
        self._sound_keys = set()
        self._releasing.update(keys)
        who = f"{self._node_id}: answered"
        outcome = self._propose(ReleaseQuarantine(keys[0], who, 0, tuple(keys[1:])))
        outcome.addBoth(lambda _: self._releasing.difference_update(keys))

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


def _limited(parts_by_fingerprint):
    reported = {}
    left = MAX_REPORTED_PARTS
    for fingerprint, parts in sorted(parts_by_fingerprint.items())[:MAX_REPORTED]:
        reported[fingerprint] = parts[:left]
        left -= len(reported[fingerprint])
    return reported
