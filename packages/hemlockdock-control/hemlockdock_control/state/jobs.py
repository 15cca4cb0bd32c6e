"""Store durable jobs until the retention of their results ends."""

import hashlib

import msgspec

from hemlockdock_control.state.job_record import DONE, FAILED, RUNNING, WAITING, JobRecord
from hemlockdock_control.state.refusals import conflict, refused, stale
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal

MS_PER_S = 1_000
MAX_STORED_BYTES = 64 * 1024 * 1024
FINISH_COMMAND_STATES = frozenset({DONE, FAILED, WAITING})


class Jobs:
    """Records of all jobs.

    Parameters
    ----------
    context : StateContext
    nodes : Nodes

    Attributes
    ----------
    record_by_id : dict of str to JobRecord
    """

    def __init__(self, context, nodes):
        self._context = context
        self._nodes = nodes
        self.record_by_id = {}
        self._stored_bytes = 0

    def restore(self, records):
        """Replace all records with those of a snapshot.

        Parameters
        ----------
        records : list of JobRecord
        """
        self.record_by_id = {}
        self._stored_bytes = 0
        for record in records:
            self._add(record)

    def submit(self, command):
        """Accept a job, or return the existing job of the same id.

        Parameters
        ----------
        command : SubmitJob

        Returns
        -------
        CommandResult
        """
        index = self._context.index
        body_hash = _request_hash(command.path, command.body)
        record = self.record_by_id.get(command.job_id)
        if record is not None:
            if (record.caller, record.body_hash) != (command.caller, body_hash):
                return refused(index, ErrorKind.KEY_REUSED, "the job id stands for another job")
            return self._result(record)
        if self._stored_bytes + len(command.body) > MAX_STORED_BYTES:
            message = f"jobs hold {MAX_STORED_BYTES} bytes already"
            return refused(index, ErrorKind.QUEUE_FULL, message)
        record = JobRecord(
            command.job_id,
            command.caller,
            command.model,
            command.path,
            command.body,
            body_hash,
            command.deadline_at_ms,
            command.retention_s * MS_PER_S,
            command.repeatable,
        )
        self._add(record)
        self._publish_change(record, "none", command.caller)
        return self._result(record)

    def claim(self, command):
        """Assign a waiting job to an owner.

        Parameters
        ----------
        command : ClaimJob

        Returns
        -------
        CommandResult
            The payload is the body of the job.
        """
        index = self._context.index
        record = self.record_by_id.get(command.job_id)
        if record is None:
            return refused(index, ErrorKind.UNKNOWN_JOB, f"no job {command.job_id!r}")
        if self._nodes.superseded(command.owner, command.incarnation):
            return stale(index, f"incarnation {command.incarnation} has ended")
        holder = (command.owner, command.incarnation)
        if record.state == RUNNING and (record.owner, record.incarnation) == holder:
            return CommandResult(index, state=RUNNING, payload=record.body, owner=record.owner)
        if record.state != WAITING:
            return conflict(index, f"the job is {record.state}")
        record.state = RUNNING
        record.owner = command.owner
        record.incarnation = command.incarnation
        self._publish_change(record, WAITING, command.owner)
        return CommandResult(index, state=RUNNING, payload=record.body, owner=record.owner)

    def finish(self, command):
        """Record the result of a job, or return it to the queue.

        Parameters
        ----------
        command : FinishJob

        Returns
        -------
        CommandResult
        """
        index = self._context.index
        record = self.record_by_id.get(command.job_id)
        if record is None:
            return refused(index, ErrorKind.UNKNOWN_JOB, f"no job {command.job_id!r}")
        if command.state not in FINISH_COMMAND_STATES:
            return refused(index, ErrorKind.BAD_REQUEST, "state done, failed or waiting")
        if (record.owner, record.incarnation) != (command.owner, command.incarnation):
            return conflict(index, f"the job is not held by {command.owner!r}")
        if record.ended and record.state == command.state:
            return self._result(record)
        if record.state != RUNNING:
            return conflict(index, f"the job is {record.state}")
        if command.state == WAITING:
            self._requeue(record, command.owner)
            return self._result(record)
        self._end(record, command.state, command.payload, command.owner)
        return self._result(record)

    def read(self, command):
        """Return the state and the result of a job to its caller.

        Parameters
        ----------
        command : ReadJob

        Returns
        -------
        CommandResult
        """
        record = self.record_by_id.get(command.job_id)
        if record is None or record.caller != command.caller:
            message = f"no job {command.job_id!r}"
            return refused(self._context.index, ErrorKind.UNKNOWN_JOB, message)
        return self._result(record)

    def resolve_claims(self, node_id):
        """Requeue or fail the running jobs of a lost or ended incarnation.

        Parameters
        ----------
        node_id : str
        """
        node = self._nodes.record_by_id.get(node_id)
        for record in self.record_by_id.values():
            if record.owner != node_id or record.state != RUNNING:
                continue
            ended = self._nodes.superseded(node_id, record.incarnation)
            if record.repeatable and (ended or (node is not None and node.lost)):
                self._requeue(record, "control")
                continue
            if ended:
                message = f"entry {node_id!r} was lost while the job ran"
                self._fail(record, Refusal.of(ErrorKind.OUTCOME_UNKNOWN, message))

    def has_due(self, now_ms):
        """Return whether a waiting job's deadline or an ended job's retention has passed.

        Parameters
        ----------
        now_ms : int

        Returns
        -------
        bool
        """
        return any(item.is_due(now_ms) for item in self.record_by_id.values())

    def expire(self):
        """Fail waiting jobs past their deadline, and remove records past their retention."""
        now_ms = self._context.now_ms
        for record in list(self.record_by_id.values()):
            if not record.is_due(now_ms):
                continue
            if record.ended:
                del self.record_by_id[record.job_id]
                self._stored_bytes -= record.stored_bytes
                continue
            message = "the deadline passed before the job could run"
            self._fail(record, Refusal.of(ErrorKind.DEADLINE_PASSED, message, NotRun.TRUE))

    def _add(self, record):
        self.record_by_id[record.job_id] = record
        self._stored_bytes += record.stored_bytes

    def _requeue(self, record, who):
        record.state = WAITING
        record.owner = ""
        record.incarnation = 0
        self._publish_change(record, RUNNING, who)

    def _fail(self, record, refusal):
        self._end(record, FAILED, msgspec.json.encode(refusal.body()), "control")

    def _end(self, record, state, payload, who):
        before = record.state
        self._stored_bytes -= record.stored_bytes
        record.state = state
        record.payload = payload
        record.body = b""
        self._stored_bytes += record.stored_bytes
        record.expires_at_ms = self._context.now_ms + record.retention_ms
        self._publish_change(record, before, who)

    def _publish_change(self, record, before, who):
        if record.ended:
            self._context.delete(record.row().key)
        else:
            self._context.put(record.row())
        self._context.record(who, "job", record.job_id, before, record.state)

    def _result(self, record):
        return CommandResult(
            self._context.index, state=record.state, payload=record.payload, owner=record.owner
        )


def _request_hash(path, body):
    return hashlib.sha256(path.encode() + b"\0" + body).hexdigest()
