"""Idempotency records of requests that may run at most once."""

from hemlockdock_control.state.refusals import conflict, refused, stale
from hemlockdock_control.state.run_record import RunRecord
from hemlockdock_core.commands import CommandResult, RunState
from hemlockdock_core.errors import ErrorKind

MS_PER_S = 1_000
# Beyond this total, answers are not stored: a resent request is told only that it already ran.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# No request runs longer than the maximum deadline that a manifest allows.
MAX_RUN_MS = 7 * 86_400_000


class RunOnce:
    """One record per idempotency key, kept until its retention ends.

    Parameters
    ----------
    context : StateContext
    nodes : Nodes

    Attributes
    ----------
    record_by_key : dict of str to RunRecord
    """

    def __init__(self, context, nodes):
        self._context = context
        self._nodes = nodes
        self.record_by_key = {}
        self._claimed_by_key = {}
        self._answer_bytes = 0

    def restore(self, records):
        """Replace all records with those of a snapshot.

        Parameters
        ----------
        records : list of RunRecord
        """
        self.record_by_key = {record.key_hash: record for record in records}
        self._claimed_by_key = {
            record.key_hash: record for record in records if record.state is RunState.CLAIMED
        }
        self._answer_bytes = sum(len(record.answer) for record in records)

    def claim(self, command):
        """Claim the run of a key, or return the existing record of the key.

        A repeated claim of the same request gets the same result as the first one.

        Parameters
        ----------
        command : ClaimRun

        Returns
        -------
        CommandResult
        """
        if self._nodes.superseded(command.owner, command.incarnation):
            return stale(self._context.index, f"incarnation {command.incarnation} has ended")
        record = self.record_by_key.get(command.key_hash)
        if record is not None and not self._is_reclaimable(record, command):
            return self._existing_result(record, command)
        record = RunRecord(
            command.key_hash,
            command.body_hash,
            command.owner,
            command.incarnation,
            command.request_id,
            command.stream_id,
            RunState.CLAIMED,
            b"",
            command.retention_s * MS_PER_S,
            self._context.now_ms + MAX_RUN_MS,
        )
        self.record_by_key[command.key_hash] = record
        self._claimed_by_key[command.key_hash] = record
        self._audit_change(record, "none")
        return self._result(record)

    def finish(self, command):
        """Record the outcome of a claimed run.

        Parameters
        ----------
        command : FinishRun

        Returns
        -------
        CommandResult
        """
        index = self._context.index
        record = self.record_by_key.get(command.key_hash)
        if record is None or record.request_id != command.request_id:
            return conflict(index, f"no claim of request {command.request_id!r}")
        if record.state in (RunState.RAN, RunState.NOT_RUN):
            if record.state is command.state:
                return self._result(record)
            return conflict(index, f"the request is known as {record.state.value}")
        if command.state is RunState.CLAIMED:
            return refused(index, ErrorKind.BAD_REQUEST, "an end state")
        before = record.state.value
        fits = self._answer_bytes + len(command.answer) <= MAX_ANSWER_BYTES
        if command.state is RunState.RAN and fits:
            record.answer = command.answer
            self._answer_bytes += len(command.answer)
        self._end(record, command.state, before)
        return self._result(record)

    def resolve_claims(self, node_id):
        """Mark the claims of ended incarnations of a node as having an unknown outcome.

        Parameters
        ----------
        node_id : str
        """
        for record in list(self._claimed_by_key.values()):
            if record.owner != node_id:
                continue
            if self._nodes.superseded(node_id, record.incarnation):
                self._end(record, RunState.UNKNOWN, "claimed")

    def has_due(self, now_ms):
        """Return whether any record has expired.

        Parameters
        ----------
        now_ms : int

        Returns
        -------
        bool
        """
        return any(item.expires_at_ms <= now_ms for item in self.record_by_key.values())

    def expire(self):
        """Remove expired records, and mark expired claims as having an unknown outcome."""
        now_ms = self._context.now_ms
        due = [item for item in self.record_by_key.values() if item.expires_at_ms <= now_ms]
        for record in due:
            if record.state is RunState.CLAIMED:
                self._end(record, RunState.UNKNOWN, "claimed")
                continue
            del self.record_by_key[record.key_hash]
            self._answer_bytes -= len(record.answer)

    def _is_reclaimable(self, record, command):
        # A delayed duplicate of the claim that did not run must not claim the key again.
        return record.state is RunState.NOT_RUN and record.request_id != command.request_id

    def _existing_result(self, record, command):
        if record.body_hash != command.body_hash:
            message = "the key stands for another body"
            return refused(self._context.index, ErrorKind.KEY_REUSED, message)
        return self._result(record)

    def _end(self, record, state, before):
        self._claimed_by_key.pop(record.key_hash, None)
        record.state = state
        record.expires_at_ms = self._context.now_ms + record.retention_ms
        self._audit_change(record, before)

    def _result(self, record):
        return CommandResult(
            self._context.index,
            state=record.state.value,
            payload=record.answer,
            owner=record.owner,
            stream_id=record.stream_id,
        )

    def _audit_change(self, record, before):
        self._context.record(record.owner, "run_once", record.key_hash, before, record.state.value)
