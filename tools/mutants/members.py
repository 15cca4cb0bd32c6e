"""Mutants of the rules by which control members of a fleet are replaced."""

from mutants.mutant import Mutant

CONSENSUS = "packages/hemlockdock-control/hemlockdock_control/consensus/"
TESTS = "packages/hemlockdock-control/tests/"
PLANNER = TESTS + "test_membership_planner.py"
REPLACEMENT = TESTS + "test_member_replacement.py"
ORDERS = TESTS + "test_member_orders.py"
FAULTS = TESTS + "test_consensus_faults.py"

MUTANTS = [
    Mutant(
        "promote whoever has caught up",
        CONSENSUS + "membership_planner.py",
        "    if not successors or len(voters) >= view.voter_target:\n",
        "    if not successors:\n",
        REPLACEMENT,
    ),
    Mutant(
        "remove a second lost folder before the first is replaced",
        CONSENSUS + "membership_planner.py",
        "        if not member.voter or _keeps_quorum_without_one(view):\n",
        "        if True:\n",
        PLANNER,
    ),
    Mutant(
        "remove a voter that leaves before its successor votes",
        CONSENSUS + "membership_planner.py",
        "            return Promote(successors[0].member_id)\n    return None\n\n\n"
        "def _removal_of_silent_non_voter",
        "            return Remove(voter.member_id)\n    return None\n\n\n"
        "def _removal_of_silent_non_voter",
        PLANNER,
    ),
    Mutant(
        "end while the removal is not committed",
        CONSENSUS + "replicator.py",
        "state.commit_index if is_committed else 0",
        "state.log.last_index",
        REPLACEMENT,
    ),
    Mutant(
        "end once the successor was promoted",
        CONSENSUS + "departure.py",
        "        return len(state.configuration.voter_ids) % 2 == 0\n",
        "        return False\n",
        ORDERS,
    ),
    Mutant(
        "hand the leadership to a member that leaves",
        CONSENSUS + "leadership_transfer.py",
        " or voter_id in state.transfer_avoided_ids",
        "",
        REPLACEMENT,
    ),
    Mutant(
        "forget who was silent as another member takes over",
        CONSENSUS + "leadership_transfer.py",
        "        if silent_ms >= state.timing.election_ms:\n",
        "        if False:\n",
        REPLACEMENT,
    ),
    Mutant(
        "take a member that has just joined for a silent one",
        CONSENSUS + "membership_reconciler.py",
        "            if progress.replied_ms == NEVER_MS:\n",
        "            if False:\n",
        REPLACEMENT,
    ),
    Mutant(
        "promote the successor beside a lost member",
        CONSENSUS + "member_changes.py",
        "    return Ok((removal, promotion))\n",
        "    return Ok((promotion, removal))\n",
        FAULTS,
    ),
]
