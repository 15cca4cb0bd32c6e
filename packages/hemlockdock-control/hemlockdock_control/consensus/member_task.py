"""Event loop of one member: feeds events to the core and carries out its effects."""

import logging
from collections import deque

from twisted.internet.defer import CancelledError, Deferred, fail

from hemlockdock_control.consensus import member_changes
from hemlockdock_control.consensus.applier import Applier
from hemlockdock_control.consensus.effect_runners import run_effect
from hemlockdock_control.consensus.effects import LeadershipChanged
from hemlockdock_control.consensus.entry import EntryKind
from hemlockdock_control.consensus.errors import (
    BacklogFullError,
    ChangeRefusedError,
    NotLeaderError,
)
from hemlockdock_control.consensus.events import (
    ConfigurationProposed,
    Proposed,
    SnapshotTaken,
    StorageFailed,
    Synced,
)
from hemlockdock_control.consensus.pending_proposals import PendingProposals
from hemlockdock_control.storage.errors import StorageFailedError
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

MAX_PENDING_COMMANDS = 10_000
# Duration of a turn from which on it is logged; an election timeout is a few times longer.
SLOW_TURN_MS = 100.0
# Tail of the log below which no snapshot is due, however small the last one is.
MIN_TAIL_BYTES = 2 * 1024 * 1024


class MemberTask:
    """Runs one member.

    The events and commands of one reactor turn are processed as a batch: their entries are sent
    in one request and made durable by one sync. Entries that are long together are applied, and
    snapshots taken, in turns of their own.

    Parameters
    ----------
    reactor : twisted reactor
    now_ms : callable
        Returns the time of a monotonic clock.
    core : Core
    storage : MemberStorage
    links : PeerLinks
    state_machine : object
        Has the methods ``apply``, ``snapshot`` and ``restore``.
    snapshot_entries : int
    on_leadership : callable
        Called with whether this member leads.

    Attributes
    ----------
    core : Core
    failure : Exception or None
        Error that stopped this member.
    leads : bool
        Whether this member leads and has applied all entries committed before its term.
    """

    def __init__(
        self, reactor, now_ms, core, storage, links, state_machine, snapshot_entries, on_leadership
    ):
        self.core = core
        self.failure = None
        self.leads = False
        self._reactor = reactor
        self._now_ms = now_ms
        self._storage = storage
        self._links = links
        self._state_machine = state_machine
        self._snapshot_entries = snapshot_entries
        self._on_leadership = on_leadership
        self._events = deque()
        self._commands = []
        self._changes = []
        self._sends_after_sync = []
        self._pending = PendingProposals()
        slice_ms = core.state.timing.apply_slice_ms
        self._applier = Applier(now_ms, state_machine, self._pending, slice_ms)
        self._leads_from_index = None
        self._turn_call = None
        self._work_call = None

    @property
    def applied_index(self):
        """Return the index of the last entry applied."""
        return self._applier.applied_index

    @property
    def is_caught_up(self):
        """Return whether all entries known to be committed are applied."""
        return self._applier.is_idle

    @property
    def has_lease(self):
        """Return whether this member leads, and its lease excludes any other leader.

        While it does, everything committed in the cluster is applied here.
        """
        return self.is_caught_up and self._leads_with_lease

    def recover(self):
        """Restore the state machine from the latest snapshot on disk."""
        snapshot = self.core.state.snapshot
        if snapshot.index:
            self._applier.restore(snapshot)
        self._links.update_addresses(self.core.state.configuration)

    def stop(self):
        """Stop processing events.

        Queued commands and changes, and reads that wait, fail with NotLeaderError. Commands and
        changes already appended fail with UnknownOutcomeError.
        """
        for call in (self._turn_call, self._work_call):
            if call is not None:
                call.cancel()
        self._turn_call = None
        self._work_call = None
        self._fail_waiting()

    def post(self, event):
        """Queue an event for the next reactor turn.

        Parameters
        ----------
        event : one of hemlockdock_control.consensus.events
        """
        self._events.append(event)
        self._schedule()

    def propose(self, command):
        """Replicate a command.

        Parameters
        ----------
        command : bytes

        Returns
        -------
        Deferred
            Fires with the result of the state machine.
        """
        if not self.leads or not self.core.accepts_proposals or self.failure is not None:
            return fail(NotLeaderError(self.core.state.leader_id))
        if len(self._pending) + len(self._commands) >= MAX_PENDING_COMMANDS:
            return fail(BacklogFullError(self.core.state.leader_id))
        deferred = Deferred()
        self._commands.append((command, deferred))
        self._schedule()
        return deferred

    def read_barrier(self):
        """Wait until all entries that are committed now are applied here.

        Returns
        -------
        Deferred
            Fires with None, or fails with NotLeaderError.
        """
        if not self._leads_with_lease:
            return fail(NotLeaderError(self.core.state.leader_id))
        reached = self._applier.reach(self.core.state.commit_index)
        return reached.addErrback(self._barrier_failed)

    def change_membership(self, change):
        """Validate and replicate a membership change.

        Parameters
        ----------
        change : AddNonVoter, Promote or Remove

        Returns
        -------
        Deferred
            Fires with None once the change is committed.
        """
        if self.failure is not None:
            return fail(NotLeaderError(""))
        deferred = Deferred()
        self._changes.append((change, deferred))
        self._schedule()
        return deferred

    @property
    def _leads_with_lease(self):
        return self.leads and self.core.has_lease(self._now_ms())

    def _schedule(self):
        if self._turn_call is None and self.failure is None:
            self._turn_call = self._reactor.callLater(0, self._turn)

    def _turn(self):
        self._turn_call = None
        self._run_timed("events", self._process_and_sync)
        if self._applier.is_short and self.failure is None:
            self._run_timed("apply", self._apply_slice)
        self._schedule_work()

    def _process_and_sync(self):
        self._process_events()
        self._sync()

    def _schedule_work(self):
        has_work = self._snapshot_is_due() or not self._applier.is_idle
        if has_work and self._work_call is None and self.failure is None:
            self._work_call = self._reactor.callLater(0, self._work)

    def _work(self):
        """Do one piece of the work that heartbeats and votes need not wait for."""
        self._work_call = None
        if self._snapshot_is_due():
            self._run_timed("snapshot", self._take_snapshot)
        else:
            self._run_timed("apply", self._apply_slice)
        self._schedule_work()

    def _run_timed(self, name, step):
        started_ms = self._now_ms()
        try:
            step()
        except StorageFailedError as error:
            self._fail(error)
        except Exception as error:
            logger.exception("unexpected error in a consensus member")
            self._fail(error)
        took_ms = self._now_ms() - started_ms
        if took_ms >= SLOW_TURN_MS:
            COUNTERS.increment("consensus_slow_turns")
            extra = {"step": name, "took_ms": round(took_ms)}
            logger.warning("slow turn of a consensus member", extra=extra)

    def _process_events(self):
        while self._events:
            self._step(self._events.popleft())
        if self._commands:
            self._process_commands()
        while self._changes:
            self._process_change(*self._changes.pop(0))

    def _process_commands(self):
        if not self.core.accepts_proposals:
            self._fail_commands()
            return
        taken = self._commands
        self._commands = []
        state = self.core.state
        for offset, (_, deferred) in enumerate(taken, start=1):
            self._pending.add(state.log.last_index + offset, state.term, deferred)
        COUNTERS.increment("consensus_proposals", len(taken))
        self._step(Proposed(tuple(command for command, _ in taken)))

    def _process_change(self, change, deferred):
        state = self.core.state
        if not self.core.accepts_proposals:
            deferred.errback(NotLeaderError(state.leader_id))
            return
        validated = member_changes.validate(change, state, self._now_ms())
        if validated.is_err():
            deferred.errback(ChangeRefusedError(validated.err()))
            return
        self._pending.add(state.log.last_index + 1, state.term, deferred)
        self._step(ConfigurationProposed(validated.ok()))

    def _sync(self):
        while self._storage.has_pending_writes:
            self._storage.sync()
            COUNTERS.increment("consensus_syncs")
            self._flush_sends()
            self._step(Synced(self.core.state.write_count))
        self._flush_sends()

    def _apply_slice(self):
        self._applier.run_slice()
        if self._leads_from_index is not None and self.applied_index >= self._leads_from_index:
            self._leads_from_index = None
            self.leads = True
            self._on_leadership(True)

    def _flush_sends(self):
        sends = self._sends_after_sync
        self._sends_after_sync = []
        for effect in sends:
            self._links.send(effect.member_id, effect.message)

    def _step(self, event):
        for effect in self.core.step(event, self._now_ms()):
            run_effect(effect, self)

    def write(self, effect):
        """Write to the disk; the next sync makes it durable.

        Parameters
        ----------
        effect : WriteVote, WriteEntries, TruncateLog or WriteSnapshot
        """
        self._storage.write(effect)

    def send(self, effect):
        """Send a message, after the next sync if it depends on earlier writes.

        Parameters
        ----------
        effect : Send
        """
        if effect.after_sync:
            self._sends_after_sync.append(effect)
            return
        self._links.send(effect.member_id, effect.message)

    def apply(self, entries):
        """Queue committed entries; each result goes to its proposer once its entry is applied.

        Parameters
        ----------
        entries : tuple of LogEntry
        """
        self._applier.add(entries)
        if any(entry.kind is EntryKind.CONFIGURATION for entry in entries):
            self._links.update_addresses(self.core.state.configuration)

    def restore(self, snapshot):
        """Restore the state machine from a snapshot.

        Parameters
        ----------
        snapshot : Snapshot
        """
        self._applier.restore(snapshot)
        self._links.update_addresses(snapshot.configuration)

    def report_leadership(self, leads, term):
        """Report that this member became the leader or ceased to be it.

        A new leader is reported once it has applied what was committed before its term.

        Parameters
        ----------
        leads : bool
        term : int
        """
        COUNTERS.increment("consensus_leadership_changes")
        logger.info("leadership changed", extra={"leads": leads, "term": term})
        if leads:
            self._leads_from_index = self.core.state.commit_index
            return
        self._end_leadership()

    def _end_leadership(self):
        self._leads_from_index = None
        self.leads = False
        self._pending.fail_all()
        self._on_leadership(False)

    def _take_snapshot(self):
        COUNTERS.increment("consensus_snapshots")
        self._step(SnapshotTaken(self.applied_index, self._state_machine.snapshot()))
        self._applier.tail_bytes = 0

    def _snapshot_is_due(self):
        snapshot = self.core.state.snapshot
        if self.applied_index - snapshot.index >= self._snapshot_entries:
            return True
        # Writing snapshots then costs about as much as writing the log.
        due_bytes = max(MIN_TAIL_BYTES, len(snapshot.data))
        return self._applier.tail_bytes >= due_bytes

    def _barrier_failed(self, failure):
        failure.trap(CancelledError)
        raise NotLeaderError(self.core.state.leader_id)

    def _fail_waiting(self):
        self._fail_commands()
        self._pending.fail_all()
        self._applier.stop()

    def _fail_commands(self):
        commands = self._commands
        self._commands = []
        for _, deferred in commands:
            deferred.errback(NotLeaderError(self.core.state.leader_id))
        changes = self._changes
        self._changes = []
        for _, deferred in changes:
            deferred.errback(NotLeaderError(self.core.state.leader_id))

    def _fail(self, error):
        self.failure = error
        COUNTERS.increment("consensus_failures")
        logger.error("consensus member stopped after an error", extra={"problem": str(error)})
        self._sends_after_sync.clear()
        for effect in self.core.step(StorageFailed(), self._now_ms()):
            if isinstance(effect, LeadershipChanged):
                self._end_leadership()
        self._fail_waiting()
