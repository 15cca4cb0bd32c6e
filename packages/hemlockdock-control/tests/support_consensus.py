"""Simulation of a cluster, with a network and clocks that fail on demand."""

import random

from support_disk import Crash, MemoryDisk
from twisted.internet.task import Clock

from hemlockdock_control.consensus.configuration import Configuration, Member
from hemlockdock_control.consensus.core import Core
from hemlockdock_control.consensus.errors import NotLeaderError, UnknownOutcomeError
from hemlockdock_control.consensus.events import Received, Tick, TransferRequested
from hemlockdock_control.consensus.member_changes import AddNonVoter, Promote, Remove
from hemlockdock_control.consensus.member_task import MemberTask
from hemlockdock_control.consensus.messages import AppendReply, VoteReply, VoteRequest
from hemlockdock_control.consensus.timing import Timing
from hemlockdock_control.storage.errors import StorageFailedError
from hemlockdock_control.storage.identity import MembershipOrigin
from hemlockdock_control.storage.member_storage import MemberStorage

HEARTBEAT_MS = 10.0
ELECTION_MS = 100.0
SNAPSHOT_ENTRIES = 12
SEGMENT_BYTES = 400
CLOCK_RATES = (0.9, 1.1)
TIMING = Timing(
    HEARTBEAT_MS,
    ELECTION_MS,
    entries_per_request=4,
    requests_in_flight=3,
    snapshot_chunk_bytes=300,
    kept_entries=4,
)


class TurnClock(Clock):
    """A clock that runs what was due when a turn began, as a reactor does, and nothing after."""

    def advance(self, amount):
        self.rightNow += amount
        due = [call for call in self.calls if call.getTime() <= self.seconds()]
        for call in due:
            if call not in self.calls:  # cancelled by an earlier one
                continue
            self.calls.remove(call)
            call.called = 1
            call.func(*call.args, **call.kw)


class ListStateMachine:
    def __init__(self):
        self.commands = []

    def apply(self, index, data):
        self.commands.append(data)
        return len(self.commands)

    def snapshot(self):
        return b"\n".join(self.commands)

    def restore(self, index, data):
        self.commands = [command for command in data.split(b"\n") if command]


class CheckedStateMachine(ListStateMachine):
    """Checks each applied entry against the cluster's list of committed entries."""

    def __init__(self, member):
        super().__init__()
        self.member = member

    def apply(self, index, data):
        self.member.cluster.now_ms += self.member.cluster.apply_ms
        self.member.cluster.check_applied(index, data)
        return super().apply(index, data)


class SimulatedMember:
    """A member with the real core, task and storage, on a simulated disk, network and clock."""

    def __init__(self, cluster, member_id):
        self.cluster = cluster
        self.member_id = member_id
        self.disk = MemoryDisk()
        self._local_ms = 0.0
        self._since_ms = 0.0
        self.rate = cluster.rate_by_id.get(member_id) or cluster.rng.choice(CLOCK_RATES)
        self.clock = TurnClock()
        self.task = None
        self.storage = MemberStorage(self.disk, "c", member_id, SEGMENT_BYTES)
        self.folder_id = self.storage.identity.folder_id

    def initialize(self, founders, standing):
        self.storage.set_origin(standing, founders)
        self.start()

    def start(self):
        if self.storage is None:
            self.storage = MemberStorage(self.disk, "c", self.member_id, SEGMENT_BYTES)
        durable = self.storage.initial_durable_state()
        core = Core(
            TIMING, self.member_id, self.folder_id, self.cluster.rng, durable, self.now_ms()
        )
        state_machine = CheckedStateMachine(self)
        self.task = MemberTask(
            self.clock,
            self.now_ms,
            core,
            self.storage,
            self,
            state_machine,
            SNAPSHOT_ENTRIES,
            self.on_leadership,
        )
        self.task.recover()
        self.state_machine = state_machine

    @property
    def is_up(self):
        return self.task is not None

    @property
    def state(self):
        return self.task.core.state

    def now_ms(self):
        return self._local_ms + (self.cluster.now_ms - self._since_ms) * self.rate

    def set_rate(self, rate):
        """Set the rate of this member's clock from now on."""
        self._local_ms = self.now_ms()
        self._since_ms = self.cluster.now_ms
        self.rate = rate

    def on_leadership(self, leads):
        missed = set(self.cluster.acknowledged).difference(self.task._state_machine.commands)
        if leads and missed:
            self.cluster.stale_reads.append(f"{self.member_id} leads without {missed}")

    def update_addresses(self, configuration):
        pass

    def send(self, receiver, message):
        self.check_durable_before_send(message)
        self.cluster.in_flight.append((self.member_id, receiver, message))

    def check_durable_before_send(self, message):
        """Check that a vote or acknowledgement is sent only once the write behind it is durable."""
        promises = isinstance(message, VoteRequest) and not message.pre
        promises = promises or (isinstance(message, VoteReply) and message.granted)
        promises = promises or (isinstance(message, AppendReply) and message.accepted)
        if promises:
            assert not self.storage.has_pending_writes, f"{message} precedes its write"
            assert not self.disk.has_unsynced, f"{message} precedes its sync"

    def post(self, event):
        self.task.post(event)

    def turn(self):
        """Process the posted events in one reactor turn, which a planned crash interrupts."""
        if not self.is_up:
            return
        started_ms = self.now_ms()
        try:
            self.clock.advance(0)
        except Crash:
            self.crash()
        turn_ms = self.now_ms() - started_ms
        self.cluster.longest_turn_ms = max(self.cluster.longest_turn_ms, turn_ms)

    def crash(self):
        if self.task is None:
            return
        self.task.stop()
        self.task = None
        self.storage = None
        self.disk.crash(self.cluster.rng)


class SimulatedCluster:
    """Simulated members, checked against the list of committed entries as the oracle."""

    def __init__(self, seed, founder_count=3, rate_by_id=None):
        self.rng = random.Random(seed)
        self.now_ms = 1_000.0
        self.apply_ms = 0.0
        self.longest_turn_ms = 0.0
        self.stale_reads = []
        self.in_flight = []
        self.cut_links = set()
        self.committed_by_index = {}
        self.leader_by_term = {}
        self.acknowledged = []
        self.refused = set()
        self.uncertain = set()
        self.proposed = 0
        self.emptied = set()
        ids = "abcde"[:founder_count]
        self.rate_by_id = rate_by_id or {}
        self.member_by_id = {m: SimulatedMember(self, m) for m in ids}
        members = [Member(m, self.member_by_id[m].folder_id, m, True) for m in ids]
        self.founders = Configuration(tuple(members))
        for member in self.member_by_id.values():
            member.initialize(self.founders, MembershipOrigin.FOUNDER)

    @property
    def up(self):
        return [member for member in self.member_by_id.values() if member.is_up]

    def leader(self):
        leaders = [member for member in self.up if member.state.is_leader]
        return max(leaders, key=lambda member: member.state.term, default=None)

    def check_applied(self, index, data):
        known = self.committed_by_index.setdefault(index, data)
        assert known == data, f"entry {index} was {known}, and is now {data}"

    def check(self):
        """Check all invariants of consensus."""
        history = [self.committed_by_index[index] for index in sorted(self.committed_by_index)]
        for member in self.up:
            failure = member.task.failure
            assert failure is None or isinstance(failure, StorageFailedError), repr(failure)
            commands = member.state_machine.commands
            assert commands == history[: len(commands)], f"{member.member_id} differs"
            self._check_leader(member, history)
        lost = set(self.acknowledged).difference(history)
        assert not lost, f"{lost} were acknowledged and are lost"
        wrong = self.refused.intersection(history)
        assert not wrong, f"{wrong} were refused and are committed"
        assert len(history) == len(set(history)), "a command was committed twice"
        assert not self.stale_reads, self.stale_reads

    def _check_leader(self, member, history):
        state = member.state
        if not state.is_leader:
            return
        first = self.leader_by_term.setdefault(state.term, member.member_id)
        assert first == member.member_id, f"{first} and {member.member_id} lead {state.term}"
        assert state.configuration.voter_ids, "no voter is left"
        if member.task.has_lease:
            missed = len(history) - len(member.state_machine.commands)
            assert missed == 0, f"{member.member_id} reads stale by {missed}"
        read = member.task.read_barrier()
        read.addCallback(lambda _: self._check_read(member, len(history)))
        read.addErrback(lambda failure: failure.trap(NotLeaderError))

    def _check_read(self, member, committed):
        missed = committed - len(member.state_machine.commands)
        if missed > 0:
            self.stale_reads.append(f"{member.member_id} reads stale by {missed}")

    def advance(self, ms):
        self.now_ms += ms
        for member in self.up:
            member.post(Tick())
            member.turn()

    def deliver(self, position):
        sender, receiver, message = self.in_flight.pop(position)
        if frozenset((sender, receiver)) in self.cut_links:
            return
        member = self.member_by_id.get(receiver)
        if member is not None and member.is_up:
            member.post(Received(sender, message))

    def turn_all(self):
        for member in self.up:
            member.turn()

    def cut_off(self, member_id):
        """Cut all links of a member."""
        for other_id in self.member_by_id:
            if other_id != member_id:
                self.cut_links.add(frozenset((member_id, other_id)))

    def run(self, rounds, loss=0.0, duplicates=0.0, disorder=0.0, step_ms=None, busy=False):
        """Advance the time and deliver messages, with loss, duplication and reordering."""
        for _ in range(rounds):
            self.advance(step_ms or self.rng.choice((1.0, 3.0, HEARTBEAT_MS)))
            for _ in range(len(self.in_flight)):
                self._deliver_some(loss, duplicates, disorder)
            self.turn_all()
            if busy:
                self.propose_at_leaders(1)
            self.check()

    def propose_at_leaders(self, count):
        for member in self.up:
            if member.state.is_leader:
                self.propose(member, count)

    def _deliver_some(self, loss, duplicates, disorder):
        draw = self.rng.random()
        position = 0
        if self.rng.random() < disorder:
            position = self.rng.randrange(len(self.in_flight))
        if draw < loss:
            self.in_flight.pop(position)
            return
        if draw < loss + duplicates:
            self.in_flight.append(self.in_flight[position])
        self.deliver(position)
        if self.rng.random() < 0.7:
            self.turn_all()

    def settle(self, rounds=400):
        """Repair all faults, and run until all voters have applied what the leader has."""
        self.cut_links.clear()
        for _ in range(rounds):
            self.restart_stopped()
            self.run(1)
            leader = self.leader()
            if (
                leader is not None
                and leader.state.leadership_established
                and self._has_converged(leader)
            ):
                return leader
        raise AssertionError("the cluster did not converge after all faults were repaired")

    def _has_converged(self, leader):
        for member_id in leader.state.configuration.voter_ids:
            member = self.member_by_id[member_id]
            if member.task.applied_index != leader.task.applied_index:
                return False
        return True

    def restart_stopped(self):
        """Restart the members that crashed or whose disk failed, on working disks."""
        for member in self.member_by_id.values():
            member.disk.fault = None
            if member.is_up and member.task.failure is not None:
                member.crash()
            if not member.is_up:
                member.start()

    def propose(self, member, count):
        for _ in range(count):
            self.proposed += 1
            command = b"command %d" % self.proposed
            deferred = member.task.propose(command)
            deferred.addCallbacks(
                lambda _, command=command: self.acknowledged.append(command),
                lambda failure, command=command: self._note_failure(failure, command),
            )
        member.turn()

    def _note_failure(self, failure, command):
        if failure.check(NotLeaderError):
            self.refused.add(command)
            return
        failure.trap(UnknownOutcomeError)
        self.uncertain.add(command)

    def change(self, change):
        """Request a membership change from the leader; return a list that receives its outcome."""
        leader = self.leader()
        if leader is None:
            return []
        outcomes = []
        leader.task.change_membership(change).addBoth(outcomes.append)
        leader.turn()
        return outcomes

    def add(self, member_id):
        member = self.member_by_id.get(member_id)
        if member is None:
            member = SimulatedMember(self, member_id)
            self.member_by_id[member_id] = member
            member.initialize(Configuration(), MembershipOrigin.JOINER)
        return self.change(AddNonVoter(member_id, member.folder_id, member_id))

    def promote(self, member_id):
        return self.change(Promote(member_id))

    def remove(self, member_id):
        return self.change(Remove(member_id))

    def elect(self, member_id):
        """Run until a given member leads."""
        for _ in range(100):
            self.run(10)
            leader = self.leader()
            if (
                leader is not None
                and leader.member_id == member_id
                and leader.state.leadership_established
            ):
                return leader
            self.transfer()
        raise AssertionError(f"{member_id} does not lead")

    def take(self, kind, receiver=None):
        """Remove the messages of a type from the network and return them."""
        taken = [m for m in self.in_flight if isinstance(m[2], kind) and receiver in (None, m[1])]
        self.in_flight = [m for m in self.in_flight if m not in taken]
        return taken

    def transfer(self):
        leader = self.leader()
        if leader is not None:
            leader.post(TransferRequested())
            leader.turn()

    def empty_folder(self, member_id):
        """Erase a member's disk and restart it under the same id with an unused folder."""
        self.member_by_id[member_id].crash()
        self.emptied.add(member_id)
        member = SimulatedMember(self, member_id)
        self.member_by_id[member_id] = member
        member.initialize(Configuration(), MembershipOrigin.JOINER)
