"""Identify requests that crash endpoints and quarantine them."""

from hemlockdock_control.state.crash_explanation import explaining_suspects, indistinguishable
from hemlockdock_control.state.refusals import refused
from hemlockdock_control.state.suspect_record import SuspectRecord
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind
from hemlockdock_core.suspect_keys import (
    MIN_REQUESTS_OF_PART,
    SAME_CRASH_MS,
    is_part,
    part_key,
)

QUARANTINE_MS = 600_000
SUSPICION_MS = 600_000
MAX_SUSPECTS = 4_096


class Crashes:
    """Track the suspects of endpoint crashes and the requests in quarantine.

    All requests in flight at a first crash become suspects. Suspects are run separately from each
    other, so normally only one of them is in flight at a second crash. That one explains both
    crashes: it is quarantined and the other suspects are cleared. If several suspects were in
    flight again, none is quarantined; the suspects that were not in flight are cleared, and the
    others are still run separately.

    An entry knows only the requests that it sent itself. By such reports, a request is quarantined
    at the third crash at which it was in flight, and a part of prompts at the third crash at which
    requests with it were. What is answered in between is released.

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
            suspects[0].crash_ids.append(command.crash_id)
            self._quarantine(suspects)
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
        keys = dict.fromkeys((command.fingerprint, *command.others))
        records = [self.suspect_by_fingerprint.get(key) for key in keys]
        released = [record for record in records if record is not None]
        if not released:
            message = f"no quarantine of {command.fingerprint!r}"
            return refused(self._context.index, ErrorKind.BAD_REQUEST, message)
        for record in released:
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
        request_by_key = _requests_by_key(command)
        self._context.record(
            command.node_id, "crash", crash_id, "", f"{len(command.fingerprints)} in flight"
        )
        refused_records = [
            record
            for record in self.suspect_by_fingerprint.values()
            if record.refused and record.fingerprint in request_by_key
        ]
        if refused_records:
            # They explain the crash, so the others are no suspects.
            self._tell_apart(refused_records, crash_id)
            return
        for key, request in request_by_key.items():
            self._count_crash(key, crash_id, request)
        explaining = explaining_suspects(self.suspect_by_fingerprint.values())
        while explaining:
            self._quarantine(explaining)
            explaining = explaining_suspects(self.suspect_by_fingerprint.values())

    def _count_crash(self, key, crash_id, request):
        record = self.suspect_by_fingerprint.get(key)
        if record is None:
            record = self._add_suspect(key, crash_id)
        if is_part(key) and request not in record.requests:
            record.requests = [*record.requests, request][:MIN_REQUESTS_OF_PART]
        if crash_id in record.crash_ids:
            return
        record.crash_ids.append(crash_id)
        self._publish_change(record, "suspect", "suspect of one more crash")

    def _tell_apart(self, crashed, crash_id):
        """Clear the quarantined parts that were absent when one like them crashed an endpoint."""
        for record in crashed:
            if not is_part(record.fingerprint):
                continue
            alike = indistinguishable(record, self.suspect_by_fingerprint.values())
            absent = [other for other in alike if other not in crashed]
            for other in absent:
                self._clear(other, "control", "another part explains the crash")
            if absent and crash_id not in record.crash_ids:
                record.crash_ids.append(crash_id)
                self._publish_change(record, "quarantined", "told apart by one more crash")

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
        return record

    def _make_room(self):
        """Remove the oldest suspect, or the oldest record of all, if there are too many."""
        if len(self.suspect_by_fingerprint) < MAX_SUSPECTS:
            return
        records = self.suspect_by_fingerprint.values()
        oldest = next((record for record in records if not record.refused), None)
        if oldest is None:
            oldest = next(iter(records))
        self._clear(oldest, "control", "too many suspects")

    def _quarantine(self, records):
        explained_crash_ids = set()
        for record in records:
            explained_crash_ids.update(record.crash_ids)
            record.refused = True
            record.until_ms = self._context.now_ms + QUARANTINE_MS
            self._publish_change(record, "suspect", "quarantined")
        by_parts = is_part(records[0].fingerprint)
        self._clear_explained(explained_crash_ids, by_parts)

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

    def _clear_explained(self, crash_ids, by_parts):
        for record in list(self.suspect_by_fingerprint.values()):
            if record.refused or not crash_ids.issuperset(record.crash_ids):
                continue
            if is_part(record.fingerprint) and not by_parts:
                # The next request with the part tells whether the part is what crashes endpoints.
                continue
            self._clear(record, "control", "the crash is explained")

    def _clear(self, record, who, after):
        del self.suspect_by_fingerprint[record.fingerprint]
        self._context.delete(record.row().key)
        before = "quarantined" if record.refused else "suspect"
        self._context.record(who, "quarantine", record.fingerprint, before, after)

    def _publish_change(self, record, before, after):
        self._context.put(record.row())
        self._context.record("control", "quarantine", record.fingerprint, before, after)


def _requests_by_key(command):
    """Return the keys that may explain a crash, in order, each with a request that has it."""
    request_by_key = {fingerprint: fingerprint for fingerprint in sorted(command.fingerprints)}
    for fingerprint, parts in sorted(command.parts_by_fingerprint.items()):
        for part_id in parts:
            request_by_key.setdefault(part_key(part_id), fingerprint)
    return request_by_key
