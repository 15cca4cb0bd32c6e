"""List deliberate faults in consensus and storage."""

from tools.mutants.mutant import Mutant

CONSENSUS = "packages/hemlockdock-control/hemlockdock_control/consensus/"
STORAGE = "packages/hemlockdock-control/hemlockdock_control/storage/"
TESTS = "packages/hemlockdock-control/tests/"
FUZZ = TESTS + "test_consensus_fuzz.py"

MUTANTS = [
    Mutant(
        "vote twice in a term",
        CONSENSUS + "elections.py",
        'state.voted_for in ("", sender)',
        "True",
        FUZZ,
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
        FUZZ,
    ),
    Mutant(
        "a lease that ignores clock drift",
        CONSENSUS + "timing.py",
        "self.election_ms * (1.0 - self.lease_drift)",
        "self.election_ms",
        FUZZ,
    ),
    Mutant(
        "a lease counted from when the reply came",
        CONSENSUS + "replication.py",
        "max(progress.acked_ms, reply.sent_ms)",
        "now_ms",
        FUZZ,
    ),
    Mutant(
        "a restarted voter forgets that it follows a leader",
        CONSENSUS + "member_state.py",
        "now_ms if self.term > 0 else NEVER_MS",
        "NEVER_MS",
        FUZZ,
    ),
    Mutant(
        "a lease kept after a handover",
        CONSENSUS + "handover.py",
        "        state.lease_given_up = True\n",
        "        state.lease_given_up = False\n",
        FUZZ,
    ),
    Mutant(
        "non-voters counted",
        CONSENSUS + "configuration.py",
        "[member.member_id for member in self.members if member.voter]",
        "[member.member_id for member in self.members]",
        FUZZ,
    ),
    Mutant(
        "a non-voter promoted before it caught up",
        CONSENSUS + "member_changes.py",
        "    if progress.match_index < state.commit_index:\n        return False\n",
        "",
        FUZZ,
    ),
    Mutant(
        "two changes of members at once",
        CONSENSUS + "member_changes.py",
        "    if state.configuration_index > state.commit_index:\n",
        "    if False:\n",
        FUZZ,
    ),
    Mutant(
        "an emptied folder votes",
        CONSENSUS + "configuration.py",
        "member is not None and member.voter and member.folder_id == folder_id",
        "member is not None and member.voter",
        FUZZ,
    ),
    Mutant(
        "truncate committed entries",
        CONSENSUS + "following.py",
        "    if skipped <= 0:\n",
        "    if True:\n",
        FUZZ,
    ),
    Mutant(
        "vote for a shorter log",
        CONSENSUS + "elections.py",
        "return (request.last_term, request.last_index) >= mine",
        "return request.last_term >= mine[0]",
        FUZZ,
    ),
    Mutant(
        "the leader counts entries that it has not synced",
        CONSENSUS + "replication.py",
        "        return state.synced_index\n",
        "        return state.log.last_index\n",
        FUZZ,
    ),
    Mutant(
        "a candidate counts its vote before it is synced",
        CONSENSUS + "elections.py",
        "    state.votes = set()\n    state.set_vote",
        "    state.votes = {state.member_id}\n    state.set_vote",
        FUZZ,
    ),
    Mutant(
        "a late snapshot drops acknowledged entries",
        CONSENSUS + "following.py",
        "    if state.log.term_at(chunk.index) == chunk.index_term:\n",
        "    if False:\n",
        FUZZ,
    ),
    Mutant(
        "a proposer handed another command's result",
        CONSENSUS + "pending_proposals.py",
        "        if term == entry.term:\n",
        "        if True:\n",
        FUZZ,
    ),
    Mutant(
        "go on after a failed sync",
        STORAGE + "member_storage.py",
        "            self._failure = StorageFailedError(error)\n"
        "            raise self._failure from error\n",
        "            return\n",
        FUZZ,
    ),
    Mutant(
        "keep entries that conflict with an installed snapshot",
        STORAGE + "member_storage.py",
        "            self._waiting.append(ResetRecord(effect.snapshot.index))\n",
        "            pass\n",
        FUZZ,
    ),
    Mutant(
        "forget the vote when segments are removed",
        STORAGE + "member_storage.py",
        "self._wal.begin(self._term, self._voted_for)",
        'self._wal.begin(0, "")',
        FUZZ,
    ),
]
