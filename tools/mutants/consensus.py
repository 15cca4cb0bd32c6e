"""List deliberate faults in consensus and storage."""

from mutants.mutant import Mutant

CONSENSUS = "packages/hemlockdock-control/hemlockdock_control/consensus/"
STORAGE = "packages/hemlockdock-control/hemlockdock_control/storage/"
TESTS = "packages/hemlockdock-control/tests/"
FUZZ = TESTS + "test_consensus_fuzz.py"
FAULTS = TESTS + "test_consensus_faults.py"
CORE = TESTS + "test_core.py"
DISK = TESTS + "test_storage.py"

MUTANTS = [
    Mutant(
        "vote twice in a term",
        CONSENSUS + "elections.py",
        'state.voted_for in ("", sender)',
        "True",
        CORE,
    ),
    Mutant(
        "skip the sync",
        STORAGE + "wal.py",
        "        self._disk.sync(name)\n",
        "",
        FUZZ,
    ),
    Mutant(
        "promise before the sync",
        CONSENSUS + "member_state.py",
        "def send(self, member_id, message, after_sync=True):",
        "def send(self, member_id, message, after_sync=False):",
        FUZZ,
    ),
    Mutant(
        "commit an earlier term's entries by counting",
        CONSENSUS + "replication.py",
        "    if index < state.term_start_index:\n        return\n",
        "",
        CORE,
    ),
    Mutant(
        "a lease that ignores clock drift",
        CONSENSUS + "timing.py",
        "self.election_ms * (1.0 - self.max_clock_drift)",
        "self.election_ms",
        FAULTS,
    ),
    Mutant(
        "a lease counted from when the reply came",
        CONSENSUS + "member_state.py",
        "max(progress.acked_ms, reply.sent_ms)",
        "now_ms",
        FAULTS,
    ),
    Mutant(
        "a restarted voter forgets that it follows a leader",
        CONSENSUS + "member_state.py",
        "now_ms if self.term > 0 else NEVER_MS",
        "NEVER_MS",
        FAULTS,
    ),
    Mutant(
        "a lease kept after a handover",
        CONSENSUS + "quorums.py",
        "if not state.is_leader or state.lease_released:",
        "if not state.is_leader:",
        FAULTS,
    ),
    Mutant(
        "non-voters counted",
        CONSENSUS + "configuration.py",
        "[member.member_id for member in self.members if member.voter]",
        "[member.member_id for member in self.members]",
        CORE,
    ),
    Mutant(
        "a non-voter promoted before it caught up",
        CONSENSUS + "member_changes.py",
        "    if progress.match_index < state.commit_index:\n        return False\n",
        "",
        CORE,
    ),
    Mutant(
        "two changes of members at once",
        CONSENSUS + "member_changes.py",
        "    if state.configuration_index > state.commit_index:\n",
        "    if False:\n",
        CORE,
    ),
    Mutant(
        "a member whose removal is not committed may not lead",
        CONSENSUS + "member_state.py",
        "        committed = self.configurations.at(self.commit_index)\n"
        "        return committed.has_voter(self.member_id, self.folder_id)\n",
        "        return False\n",
        FAULTS,
    ),
    Mutant(
        "a member that does not know of its promotion refuses its vote",
        CONSENSUS + "elections.py",
        "    if _has_active_leader(state, request, now_ms):\n        return False\n",
        "    if _has_active_leader(state, request, now_ms) or not state.is_voter:\n"
        "        return False\n",
        FAULTS,
    ),
    Mutant(
        "an emptied folder votes",
        CONSENSUS + "configuration.py",
        "member is not None and member.voter and member.folder_id == folder_id",
        "member is not None and member.voter",
        CORE,
    ),
    Mutant(
        "a late short request truncates acknowledged entries",
        CONSENSUS + "follower.py",
        "        if found == entry.term:\n            continue\n",
        "",
        CORE,
    ),
    Mutant(
        "vote for a shorter log",
        CONSENSUS + "elections.py",
        "return (request.last_term, request.last_index) >= own_last",
        "return request.last_term >= own_last[0]",
        CORE,
    ),
    Mutant(
        "the leader counts entries that it has not synced",
        CONSENSUS + "replication.py",
        "        return state.synced_index\n",
        "        return state.log.last_index\n",
        CORE,
    ),
    Mutant(
        "a candidate counts its vote before it is synced",
        CONSENSUS + "elections.py",
        "    _request_votes(state, state.term, pre=False)\n",
        "    state.votes = {state.member_id}\n    _count_votes(state, now_ms)\n",
        CORE,
    ),
    Mutant(
        "a late snapshot drops acknowledged entries",
        CONSENSUS + "follower.py",
        "    if state.log.term_at(chunk.index) == chunk.index_term:\n",
        "    if False:\n",
        CORE,
    ),
    Mutant(
        "an uncertain command reported as refused",
        CONSENSUS + "pending_proposals.py",
        "deferred.errback(UnknownOutcomeError())",
        'deferred.errback(NotLeaderError(""))',
        FAULTS,
    ),
    Mutant(
        "go on after a failed sync",
        STORAGE + "member_storage.py",
        "            self.failure = StorageFailedError(error)\n"
        "            raise self.failure from error\n",
        "            return\n",
        DISK,
    ),
    Mutant(
        "keep entries that conflict with an installed snapshot",
        STORAGE + "member_storage.py",
        "            self._pending_records.append(ResetRecord(effect.snapshot.index))\n",
        "            pass\n",
        DISK,
    ),
    Mutant(
        "forget the vote when segments are removed",
        STORAGE + "member_storage.py",
        "self._wal.start_segment(self._term, self._voted_for)",
        'self._wal.start_segment(0, "")',
        DISK,
    ),
    Mutant(
        "take damage for a torn write",
        STORAGE + "frames.py",
        "return frame_end == end and _has_zero_page(data, offset, end)",
        "return True",
        DISK,
    ),
    Mutant(
        "read on after a torn segment",
        STORAGE + "wal.py",
        "(frames.ending is Ending.TORN and not may_be_torn)",
        "False",
        DISK,
    ),
    Mutant(
        "miss that a complete segment lost its end",
        STORAGE + "wal.py",
        "if self._sequence and start.previous_length != self._size:",
        "if False:",
        DISK,
    ),
    Mutant(
        "send a silent member its entries again and again",
        CONSENSUS + "replication.py",
        "_send_request(state, peer_id, progress, (), now_ms)\n            break",
        "_send_request(state, peer_id, progress, _next_entries(state, progress), now_ms)\n"
        "            break",
        CORE,
    ),
    Mutant(
        "take another member's folder",
        STORAGE + "identity_file.py",
        "if (identity.cluster, identity.member_id) != (cluster, member_id):",
        "if identity.cluster != cluster:",
        DISK,
    ),
    Mutant(
        "apply the whole tail in one turn",
        CONSENSUS + "applier.py",
        "            if self._now_ms() >= end_ms:\n                break\n",
        "",
        FAULTS,
    ),
    Mutant(
        "lead before the entries of earlier terms are applied",
        CONSENSUS + "member_task.py",
        " and self.applied_index >= self._leads_from_index:",
        ":",
        FAULTS,
    ),
    Mutant(
        "hold a lease while committed entries wait",
        CONSENSUS + "member_task.py",
        "return self.is_caught_up and self._leads_with_lease",
        "return self._leads_with_lease",
        FAULTS,
    ),
    Mutant(
        "read without waiting for committed entries",
        CONSENSUS + "member_task.py",
        "self._applier.reach(self.core.state.commit_index)",
        "self._applier.reach(0)",
        FAULTS,
    ),
    Mutant(
        "a snapshot that is due by entries alone",
        CONSENSUS + "member_task.py",
        "return self._applier.tail_bytes >= due_bytes",
        "return False",
        FAULTS,
    ),
    Mutant(
        "a member whose disk was full stays failed",
        CONSENSUS + "replicator.py",
        "return has_failed or self._storage.failure is not None",
        "return self._settings.in_fleet and has_failed",
        TESTS + "test_reopen.py",
    ),
    Mutant(
        "a leader that never checks its quorum",
        CONSENSUS + "event_handlers.py",
        "if not quorums.has_quorum_contact(state, now_ms):",
        "if False:",
        CORE,
    ),
]
