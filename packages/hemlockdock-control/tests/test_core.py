"""Tests of the consensus core, one event at a time."""

import random
import unittest

from hemlockdock_control.consensus import member_changes
from hemlockdock_control.consensus.configuration import Configuration, Member
from hemlockdock_control.consensus.core import Core
from hemlockdock_control.consensus.durable_state import DurableState
from hemlockdock_control.consensus.effects import ApplyEntries, Send, TruncateLog, WriteVote
from hemlockdock_control.consensus.entry import EntryKind, LogEntry
from hemlockdock_control.consensus.entry_log import EntryLog
from hemlockdock_control.consensus.events import (
    ConfigurationProposed,
    Proposed,
    Received,
    SnapshotTaken,
    Synced,
    Tick,
)
from hemlockdock_control.consensus.member_changes import (
    AddNonVoter,
    ChangeRefusal,
    Promote,
    Remove,
)
from hemlockdock_control.consensus.messages import (
    PEER_CODEC,
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)
from hemlockdock_control.consensus.snapshot import Snapshot
from hemlockdock_control.consensus.timing import Timing
from hemlockdock_core.messages.frame import Frame

TIMING = Timing(10.0, 100.0)
LATER_MS = 10_000.0


def configuration(voters, non_voters=""):
    members = [Member(m, m, m, True) for m in voters]
    members += [Member(m, m, m, False) for m in non_voters]
    return Configuration(tuple(members))


def entries(*terms, first=1):
    return tuple(
        LogEntry(index, term, EntryKind.COMMAND, b"%d" % index)
        for index, term in enumerate(terms, start=first)
    )


def member(voters="abc", non_voters="", terms=(), term=None, voted_for="", folder_id="a"):
    durable = DurableState(
        max(terms, default=1) if term is None else term,
        voted_for,
        Snapshot(0, 0, configuration(voters, non_voters), b""),
        list(entries(*terms)),
    )
    return Core(TIMING, "a", folder_id, random.Random(1), durable, 0.0)


def sent(effects, kind):
    return [e.message for e in effects if isinstance(e, Send) and isinstance(e.message, kind)]


def sync(core, now_ms=LATER_MS):
    return core.step(Synced(core.state.write_count), now_ms)


def elect(core, voters="bc"):
    """Make a member win its election; its first entry is not synced yet."""
    core.step(Tick(), LATER_MS)
    for voter in voters:
        core.step(Received(voter, VoteReply(0, core.state.term + 1, True, True, voter)), LATER_MS)
    sync(core)
    effects = []
    for voter in voters:
        effects = core.step(
            Received(voter, VoteReply(0, core.state.term, False, True, voter)), LATER_MS
        )
    return effects


def accept(core, voter, index, now_ms=LATER_MS):
    return core.step(Received(voter, AppendReply(core.state.term, now_ms, True, index)), now_ms)


def applied(effects):
    return [entry.index for e in effects if isinstance(e, ApplyEntries) for entry in e.entries]


class ElectionTest(unittest.TestCase):
    def request_vote(self, core, sender, request):
        effects = core.step(Received(sender, request), LATER_MS)
        return sent(effects, VoteReply)[-1].granted

    def test_one_vote_in_a_term(self):
        core = member()
        self.assertTrue(self.request_vote(core, "b", VoteRequest(5, False, 0, 0, False)))
        self.assertFalse(self.request_vote(core, "c", VoteRequest(5, False, 0, 0, False)))
        self.assertTrue(self.request_vote(core, "b", VoteRequest(5, False, 0, 0, False)))

    def test_the_vote_survives_a_restart(self):
        core = member(term=5, voted_for="b")
        self.assertFalse(self.request_vote(core, "c", VoteRequest(5, False, 9, 9, False)))

    def test_no_vote_for_a_log_that_lacks_entries(self):
        core = member(terms=(1, 2, 2))
        self.assertFalse(self.request_vote(core, "b", VoteRequest(5, False, 2, 2, False)))
        self.assertFalse(self.request_vote(core, "b", VoteRequest(6, False, 9, 1, False)))
        self.assertTrue(self.request_vote(core, "b", VoteRequest(7, False, 3, 2, False)))

    def test_a_pre_vote_changes_no_term_and_no_vote(self):
        core = member()
        effects = core.step(Received("b", VoteRequest(5, True, 0, 0, False)), LATER_MS)
        self.assertTrue(sent(effects, VoteReply)[0].granted)
        self.assertEqual(core.state.term, 1)
        self.assertFalse([e for e in effects if isinstance(e, WriteVote)])

    def test_no_vote_while_a_leader_is_heard(self):
        core = member()
        core.step(Received("c", AppendRequest(2, 0.0, 0, 0, 0)), LATER_MS - 50.0)
        self.assertFalse(self.request_vote(core, "b", VoteRequest(5, False, 9, 9, False)))
        self.assertEqual(core.state.term, 2)
        self.assertTrue(self.request_vote(core, "b", VoteRequest(5, False, 9, 9, True)))

    def test_the_vote_of_an_emptied_folder_does_not_count(self):
        core = member()
        core.step(Tick(), LATER_MS)
        core.step(Received("b", VoteReply(0, 2, True, True, "another")), LATER_MS)
        self.assertEqual(core.state.term, 1)
        core.step(Received("b", VoteReply(0, 2, True, True, "b")), LATER_MS)
        self.assertEqual(core.state.term, 2)
        sync(core)
        core.step(Received("c", VoteReply(0, 2, False, True, "another")), LATER_MS)
        self.assertFalse(core.state.is_leader)
        core.step(Received("c", VoteReply(0, 2, False, True, "c")), LATER_MS)
        self.assertTrue(core.state.is_leader)

    def test_a_member_with_an_emptied_folder_is_no_candidate(self):
        core = member(folder_id="another")
        self.assertEqual(core.step(Tick(), LATER_MS), [])

    def test_a_candidate_counts_itself_once_its_vote_is_durable(self):
        core = member("a")
        core.step(Tick(), LATER_MS)
        self.assertFalse(core.state.is_leader)
        sync(core)
        self.assertTrue(core.state.is_leader)

    def test_a_leader_without_a_quorum_steps_down(self):
        core = member()
        elect(core)
        accept(core, "b", 1)
        core.step(Tick(), LATER_MS + 99.0)
        self.assertTrue(core.state.is_leader)
        core.step(Tick(), LATER_MS + 100.0)
        self.assertFalse(core.state.is_leader)


class CommitTest(unittest.TestCase):
    def test_the_leader_counts_itself_once_its_disk_synced(self):
        core = member("a")
        core.step(Tick(), LATER_MS)
        sync(core)
        sync(core)
        self.assertEqual(applied(core.step(Proposed((b"x",)), LATER_MS)), [])
        self.assertEqual(applied(sync(core)), [2])

    def test_a_quorum_commits_before_the_leader_has_synced(self):
        core = member()
        elect(core)
        self.assertEqual(applied(accept(core, "b", 1)), [])
        self.assertEqual(applied(accept(core, "c", 1)), [1])

    def test_entries_of_earlier_terms_wait_for_one_of_this_term(self):
        core = member(terms=(1, 2))
        elect(core)
        sync(core)
        self.assertEqual(applied(accept(core, "b", 2)), [])
        self.assertEqual(applied(accept(core, "b", 3)), [1, 2, 3])

    def test_non_voters_do_not_count(self):
        core = member("abc", "de")
        elect(core)
        sync(core)
        self.assertEqual(applied(accept(core, "d", 1)), [])
        self.assertEqual(applied(accept(core, "e", 1)), [])
        self.assertEqual(applied(accept(core, "c", 1)), [1])


class SilentMemberTest(unittest.TestCase):
    def bytes_sent_to(self, core, member_id, ticks=200):
        """Return the number of bytes sent to a member that never replies."""
        size = 0
        now_ms = LATER_MS
        for _ in range(ticks):
            now_ms += TIMING.heartbeat_ms
            accept(core, "b", core.state.log.last_index, now_ms)
            for effect in core.step(Tick(), now_ms):
                if isinstance(effect, Send) and effect.member_id == member_id:
                    size += len(PEER_CODEC.encode(Frame(1, "a", 1, "", effect.message)))
        return size

    def test_entries_and_chunks_do_not_accumulate_for_it(self):
        core = member()
        elect(core)
        sync(core)
        accept(core, "b", 1)
        core.step(Proposed((bytes(100_000),) * 20), LATER_MS)
        sync(core)
        self.assertLess(self.bytes_sent_to(core, "c"), 20_000)
        core.step(SnapshotTaken(21, bytes(1_000_000)), LATER_MS)
        core.state.log.compact_to(21)
        self.assertLess(self.bytes_sent_to(core, "c"), 20_000 + TIMING.snapshot_chunk_bytes)


class EntryLogTest(unittest.TestCase):
    def test_a_compacted_log_keeps_entries_of_any_size(self):
        # Guards against memory that grows with the size of entries, which operators choose.
        for size, kept in ((10, 8), (1_000, 3), (5_000, 0)):
            log = EntryLog()
            for index in range(1, 11):
                log.append(LogEntry(index, 1, EntryKind.COMMAND, bytes(size)))
            log.compact_to(9, kept_entries=8, kept_bytes=3_000)
            self.assertEqual(len(log.entries), kept + 1)


class FollowerTest(unittest.TestCase):
    def append(self, core, term, previous, previous_term, commit, *new):
        request = AppendRequest(term, 0.0, previous, previous_term, commit, new)
        return core.step(Received("b", request), LATER_MS)

    def test_a_late_short_request_keeps_what_is_acknowledged(self):
        core = member(terms=(1, 1, 1))
        effects = self.append(core, 1, 0, 0, 0, *entries(1))
        self.assertEqual(sent(effects, AppendReply)[0].index, 1)
        self.assertEqual(core.state.log.last_index, 3)

    def test_conflicting_entries_are_replaced(self):
        core = member(terms=(1, 1, 1))
        effects = self.append(core, 2, 1, 1, 0, *entries(2, first=2))
        self.assertIn(TruncateLog(2), effects)
        self.assertEqual([e.term for e in core.state.log.entries], [1, 2])

    def test_a_conflict_is_skipped_by_whole_terms(self):
        core = member(terms=(1, 2, 2, 2))
        reply = sent(self.append(core, 3, 4, 3, 0), AppendReply)[0]
        self.assertEqual((reply.accepted, reply.conflict_term, reply.conflict_index), (False, 2, 2))
        reply = sent(self.append(core, 3, 9, 3, 0), AppendReply)[0]
        self.assertEqual((reply.conflict_term, reply.conflict_index), (0, 5))

    def test_a_late_snapshot_keeps_what_is_acknowledged(self):
        core = member(terms=(1, 1, 1, 1))
        chunk = SnapshotChunk(1, 0.0, 2, 1, configuration("abc"), 0, b"", True)
        effects = core.step(Received("b", chunk), LATER_MS)
        self.assertEqual(core.state.log.last_index, 4)
        self.assertEqual(applied(effects), [1, 2])


class MemberChangeTest(unittest.TestCase):
    def leader(self, non_voters="d"):
        core = member("abc", non_voters)
        elect(core)
        sync(core)
        accept(core, "b", 1)
        return core

    def validate(self, core, change, now_ms=LATER_MS):
        validated = member_changes.validate(change, core.state, now_ms)
        return validated.err() or validated.ok()

    def test_refused_before_the_term_has_a_commit(self):
        core = member()
        elect(core)
        self.assertIs(self.validate(core, Remove("c")), ChangeRefusal.NOT_LEADER)

    def test_refused_while_another_is_under_way(self):
        core = self.leader()
        changed = self.validate(core, AddNonVoter("e", "e", "e"))
        core.step(ConfigurationProposed(changed), LATER_MS)
        self.assertIs(self.validate(core, Remove("d")), ChangeRefusal.CHANGE_IN_PROGRESS)
        accept(core, "b", 2)
        accept(core, "c", 2)
        self.assertEqual(self.validate(core, Remove("d")), configuration("abc", "e"))

    def test_a_non_voter_is_promoted_only_once_it_holds_all_that_is_committed(self):
        core = self.leader()
        self.assertIs(self.validate(core, Promote("d")), ChangeRefusal.CATCHING_UP)
        accept(core, "d", 1)
        core.step(Proposed((b"x",)), LATER_MS)
        sync(core)
        accept(core, "b", 2)
        self.assertIs(self.validate(core, Promote("d")), ChangeRefusal.CATCHING_UP)
        accept(core, "d", 2)
        late_ms = LATER_MS + TIMING.election_ms
        self.assertIs(self.validate(core, Promote("d"), late_ms), ChangeRefusal.CATCHING_UP)
        self.assertEqual(self.validate(core, Promote("d")), configuration("abcd"))

    def test_refused_where_the_voters_that_reply_make_no_quorum(self):
        core = self.leader()
        self.assertIs(self.validate(core, Remove("b")), ChangeRefusal.QUORUM_LOST)
        self.assertEqual(self.validate(core, Remove("c")), configuration("ab", "d"))
        self.assertIs(self.validate(member("a"), Remove("a")), ChangeRefusal.NOT_LEADER)


if __name__ == "__main__":
    unittest.main()
