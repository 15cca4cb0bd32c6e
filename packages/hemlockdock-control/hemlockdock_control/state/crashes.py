"""Identify requests that crash endpoints and quarantine them."""

from hemlockdock_control.state.refusals import refused
from hemlockdock_control.state.suspect_record import SuspectRecord
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind

QUARANTINE_MS = 600_000
SUSPICION_MS = 600_000
# A crash that is known by incomplete reports only may be explained by a request of another report.
INCOMPLETE_CRASHES_BEFORE_QUARANTINE = 3
# Reports on one endpoint within this time are about the same crash: a restart takes longer.
SAME_CRASH_MS = 3_000
MAX_SUSPECTS = 4_096


class Crashes:
    """Track the suspects of endpoint crashes and the requests in quarantine.

    All requests in flight at a first crash become suspects. Suspects are run separately from each
    other, so normally only one of them is in flight at a second crash. That one explains both
    crashes: it is quarantined and the other suspects are cleared. If several suspects were in
    flight again, none is quarantined; the suspects that were not in flight are cleared, and the
    others are still run separately.

    An entry knows only the requests that it sent itself. Its report quarantines a request at the
    third crash that it was in flight at; a request that is answered in between is released.

    Parameters
    ----------
    context : StateContext

    Attributes
    ----------
    suspect_by_fingerprint : dict of str to SuspectRecord
    seen_until_ms_by_crash : dict of str to int
        Expiry times of the crashes recorded so far, to ignore repeated reports.
    """

    def __init__(self, context):
        self._context = context
        self.suspect_by_fingerprint = {}
        self.seen_until_ms_by_crash = {}

    def record(self, command):
        """Record a crash and the requests in flight; repeated reports are ignored.

        Parameters
        ----------
        command : RecordCrash

        Returns
        -------
        CommandResult
        """
        context = self._context
        if not command.is_complete:
            self._record_incomplete(command)
            return CommandResult(context.index)
        if command.crash_id in self.seen_until_ms_by_crash:
            return CommandResult(context.index)
        self.seen_until_ms_by_crash[command.crash_id] = context.now_ms + QUARANTINE_MS
        fingerprints = sorted(set(command.fingerprints))
        context.record(
            command.node_id, "crash", command.crash_id, "", f"{len(fingerprints)} in flight"
        )
        records = [self.suspect_by_fingerprint.get(item) for item in fingerprints]
        suspects = [item for item in records if item is not None]
        if any(item.refused for item in suspects):
            # A request already in quarantine explains the crash, so the others are no suspects.
            return CommandResult(context.index)
        if len(suspects) == 1:
            self._quarantine(suspects[0], command.crash_id)
            return CommandResult(context.index)
        if suspects:
            self._narrow_suspects(suspects, command.crash_id)
            return CommandResult(context.index)
        for fingerprint in fingerprints:
            self._add_suspect(fingerprint, command.crash_id)
        return CommandResult(context.index)

    def release(self, command):
        """Release a fingerprint from quarantine or suspicion.

        Parameters
        ----------
        command : ReleaseQuarantine

        Returns
        -------
        CommandResult
        """
        record = self.suspect_by_fingerprint.get(command.fingerprint)
        if record is None:
            message = f"no quarantine of {command.fingerprint!r}"
            return refused(self._context.index, ErrorKind.BAD_REQUEST, message)
        self._clear(record, command.who, "released")
        return CommandResult(self._context.index)

    def has_due(self, now_ms):
        """Return whether any quarantine, suspicion or crash record has expired.

        Parameters
        ----------
        now_ms : int

        Returns
        -------
        bool
        """
        if any(item.until_ms <= now_ms for item in self.suspect_by_fingerprint.values()):
            return True
        return any(until_ms <= now_ms for until_ms in self.seen_until_ms_by_crash.values())

    def expire(self):
        """Remove expired quarantines, suspicions and crash records."""
        now_ms = self._context.now_ms
        for record in list(self.suspect_by_fingerprint.values()):
            if record.until_ms <= now_ms:
                self._clear(record, "control", "expired")
        for crash_id, until_ms in list(self.seen_until_ms_by_crash.items()):
            if until_ms <= now_ms:
                del self.seen_until_ms_by_crash[crash_id]

    def _record_incomplete(self, command):
        self.expire()
        crash_id = self._crash_of_endpoint(command.crash_id)
        fingerprints = sorted(set(command.fingerprints))
        self._context.record(
            command.node_id, "crash", crash_id, "", f"{len(fingerprints)} in flight"
        )
        records = [self.suspect_by_fingerprint.get(item) for item in fingerprints]
        if any(record is not None and record.refused for record in records):
            # A request already in quarantine explains the crash, so the others are no suspects.
            return
        for fingerprint in fingerprints:
            self._count_crash(fingerprint, crash_id)

    def _count_crash(self, fingerprint, crash_id):
        record = self.suspect_by_fingerprint.get(fingerprint)
        if record is None:
            self._add_suspect(fingerprint, crash_id)
            return
        if crash_id in record.crash_ids:
            return
        if len(record.crash_ids) + 1 >= INCOMPLETE_CRASHES_BEFORE_QUARANTINE:
            self._quarantine(record, crash_id)
            return
        record.crash_ids.append(crash_id)
        self._publish_change(record, "suspect", "suspect of one more crash")

    def _crash_of_endpoint(self, endpoint_id):
        """Return the id of the endpoint's crash that is being reported now."""
        now_ms = self._context.now_ms
        prefix = f"{endpoint_id}@"
        for crash_id, until_ms in self.seen_until_ms_by_crash.items():
            recorded_ms = until_ms - QUARANTINE_MS
            if crash_id.startswith(prefix) and now_ms - recorded_ms < SAME_CRASH_MS:
                return crash_id
        crash_id = f"{prefix}{now_ms}"
        self.seen_until_ms_by_crash[crash_id] = now_ms + QUARANTINE_MS
        return crash_id

    def _add_suspect(self, fingerprint, crash_id):
        until_ms = self._context.now_ms + SUSPICION_MS
        record = SuspectRecord(fingerprint, [crash_id], False, until_ms)
        self._make_room()
        self.suspect_by_fingerprint[fingerprint] = record
        self._publish_change(record, "unknown", "suspect")

    def _make_room(self):
        """Remove the oldest suspect, or the oldest record of all, if there are too many."""
        if len(self.suspect_by_fingerprint) < MAX_SUSPECTS:
            return
        records = list(self.suspect_by_fingerprint.values())
        suspects = [record for record in records if not record.refused]
        self._clear((suspects or records)[0], "control", "too many suspects")

    def _quarantine(self, record, crash_id):
        record.crash_ids.append(crash_id)
        explained_crash_ids = set(record.crash_ids)
        record.refused = True
        record.until_ms = self._context.now_ms + QUARANTINE_MS
        self._publish_change(record, "suspect", "quarantined")
        self._clear_explained(explained_crash_ids)

    def _narrow_suspects(self, suspects, crash_id):
        remaining_fingerprints = {record.fingerprint for record in suspects}
        crash_ids = {item for record in suspects for item in record.crash_ids}
        for record in list(self.suspect_by_fingerprint.values()):
            if record.refused or record.fingerprint in remaining_fingerprints:
                continue
            if crash_ids.issuperset(record.crash_ids):
                self._clear(record, "control", "not there at the second crash")
        for record in suspects:
            record.crash_ids.append(crash_id)
            self._publish_change(record, "suspect", "suspect of one more crash")

    def _clear_explained(self, crash_ids):
        for record in list(self.suspect_by_fingerprint.values()):
            if not record.refused and crash_ids.issuperset(record.crash_ids):
                self._clear(record, "control", "another request explains the crash")

    def _clear(self, record, who, after):
        del self.suspect_by_fingerprint[record.fingerprint]
        self._context.delete(record.row().key)
        before = "quarantined" if record.refused else "suspect"
        self._context.record(who, "quarantine", record.fingerprint, before, after)

    def _publish_change(self, record, before, after):
        self._context.put(record.row())
        self._context.record("control", "quarantine", record.fingerprint, before, after)
