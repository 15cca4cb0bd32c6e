"""Find the requests that crash endpoints, and refuse them for a time."""

from hemlockdock_control.state.refusals import refused
from hemlockdock_control.state.suspect_record import SuspectRecord
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind

QUARANTINE_MS = 600_000
SUSPICION_MS = 600_000


class Crashes:
    """Tell the cause of crashes from bystanders.

    All that is in flight at a first crash is suspect. Suspects run apart from each other, so a
    second crash has one of them in flight: that one explains both crashes, is refused, and
    frees the others. Where several suspects were in flight again, none is condemned; those that
    were not there are freed, and the rest go on apart.

    Parameters
    ----------
    context : StateContext

    Attributes
    ----------
    suspect_by_fingerprint : dict of str to SuspectRecord
    seen_until_ms_by_crash : dict of str to int
        Crashes recorded already, and when they are forgotten.
    """

    def __init__(self, context):
        self._context = context
        self.suspect_by_fingerprint = {}
        self.seen_until_ms_by_crash = {}

    def record(self, command):
        """Record a crash and what was in flight; repeats change nothing.

        Parameters
        ----------
        command : RecordCrash

        Returns
        -------
        CommandResult
        """
        context = self._context
        if command.crash_id in self.seen_until_ms_by_crash:
            return CommandResult(context.index)
        self.seen_until_ms_by_crash[command.crash_id] = context.now_ms + QUARANTINE_MS
        fingerprints = sorted(set(command.fingerprints))
        context.record(
            command.node_id, "crash", command.crash_id, "", f"{len(fingerprints)} in flight"
        )
        known = [self.suspect_by_fingerprint.get(item) for item in fingerprints]
        earlier = [item for item in known if item is not None]
        if any(item.refused for item in earlier):
            # A request that is refused by now explains the crash: nobody else is suspect.
            return CommandResult(context.index)
        if len(earlier) == 1:
            self._condemn(earlier[0], command.crash_id)
            return CommandResult(context.index)
        if earlier:
            self._narrow(earlier, command.crash_id)
            return CommandResult(context.index)
        for fingerprint in fingerprints:
            self._suspect(fingerprint, command.crash_id)
        return CommandResult(context.index)

    def release(self, command):
        """Let a fingerprint run again.

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
        self._free(record, command.who, "released")
        return CommandResult(self._context.index)

    def has_due(self, now_ms):
        """Tell whether any quarantine, suspicion or remembered crash is over.

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
        """End quarantines and suspicions whose time is over."""
        now_ms = self._context.now_ms
        for record in list(self.suspect_by_fingerprint.values()):
            if record.until_ms <= now_ms:
                self._free(record, "control", "expired")
        for crash_id, until_ms in list(self.seen_until_ms_by_crash.items()):
            if until_ms <= now_ms:
                del self.seen_until_ms_by_crash[crash_id]

    def _suspect(self, fingerprint, crash_id):
        until_ms = self._context.now_ms + SUSPICION_MS
        record = SuspectRecord(fingerprint, [crash_id], False, until_ms)
        self.suspect_by_fingerprint[fingerprint] = record
        self._changed(record, "unknown", "suspect")

    def _condemn(self, record, crash_id):
        explained = set(record.crash_ids)
        record.crash_ids.append(crash_id)
        record.refused = True
        record.until_ms = self._context.now_ms + QUARANTINE_MS
        self._changed(record, "suspect", "quarantined")
        self._free_explained(explained)

    def _narrow(self, earlier, crash_id):
        remaining = {record.fingerprint for record in earlier}
        crash_ids = {item for record in earlier for item in record.crash_ids}
        for record in list(self.suspect_by_fingerprint.values()):
            if record.refused or record.fingerprint in remaining:
                continue
            if crash_ids.issuperset(record.crash_ids):
                self._free(record, "control", "not there at the second crash")
        for record in earlier:
            record.crash_ids.append(crash_id)
            self._changed(record, "suspect", "suspect of one more crash")

    def _free_explained(self, crash_ids):
        for record in list(self.suspect_by_fingerprint.values()):
            if not record.refused and crash_ids.issuperset(record.crash_ids):
                self._free(record, "control", "another request explains the crash")

    def _free(self, record, who, after):
        del self.suspect_by_fingerprint[record.fingerprint]
        self._context.delete(record.row().key)
        before = "quarantined" if record.refused else "suspect"
        self._context.record(who, "quarantine", record.fingerprint, before, after)

    def _changed(self, record, before, after):
        self._context.put(record.row())
        self._context.record("control", "quarantine", record.fingerprint, before, after)
