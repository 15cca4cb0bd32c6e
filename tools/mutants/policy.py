"""Deliberate faults in the placement policy."""

from mutants.mutant import Mutant

PLACEMENT = "packages/hemlockdock-control/hemlockdock_control/placement"
LOADING = "packages/hemlockdock-control/hemlockdock_control/loading"
TESTS = "packages/hemlockdock-control/tests"
FUZZ = f"{TESTS}/test_placement_fuzz.py"
SINGLE = f"{TESTS}/test_placement_planner.py"

MUTANTS = [
    Mutant(
        "policy: the count is not looked at",
        f"{PLACEMENT}/waking.py",
        "    if room <= 0:",
        "    room = max(room, 1)\n    if room <= 0:",
        FUZZ,
    ),
    Mutant(
        "policy: memory taken by this round is forgotten",
        f"{PLACEMENT}/round.py",
        "endpoint.reserved_mb - self.taken_by_node.get(node_id, 0)",
        "endpoint.reserved_mb",
        FUZZ,
    ),
    Mutant(
        "policy: one load too many at full speed",
        f"{LOADING}/store_budget.py",
        "if self.in_flight >= self.most_at_once:",
        "if self.in_flight > self.most_at_once:",
        FUZZ,
    ),
    Mutant(
        "policy: the rate of the store is not looked at",
        f"{LOADING}/store_budget.py",
        "return len(self.starts_ms) + 1 <= max(self.most_a_second, 1.0)",
        "return True",
        SINGLE,
    ),
    Mutant(
        "policy: leaving endpoints get loads",
        f"{PLACEMENT}/view/endpoint_view.py",
        "return self.inventory_known and not self.leaving and not self.lost",
        "return self.inventory_known and not self.lost",
        FUZZ,
    ),
    Mutant(
        "policy: nothing makes room for a model that waits",
        f"{PLACEMENT}/hosts.py",
        "    for replica, gain_ms in victims_on(node_id):",
        "    for replica, gain_ms in victims_on(node_id)[:0]:",
        SINGLE,
    ),
    Mutant(
        "policy: a load that hangs is never noticed",
        f"{PLACEMENT}/hangs.py",
        '        plan.unload(replica, "load hangs")',
        "        continue",
        SINGLE,
    ),
    Mutant(
        "policy: a burst loads one replica for each full set of requests",
        f"{PLACEMENT}/waking.py",
        "    if not serving:\n        return 1",
        "    if not serving:\n        return -(-demand.waiting // model.requests_per_replica)",
        SINGLE,
    ),
    Mutant(
        "policy: replicas that serve are dropped as idle",
        f"{PLACEMENT}/retention.py",
        "if replica.state is not ReplicaState.READY or replica.in_flight > 0:",
        "if replica.state is not ReplicaState.READY:",
        f"{TESTS}/test_placement_retention.py",
    ),
    Mutant(
        "policy: the old version goes before the new one is ready",
        f"{PLACEMENT}/versions.py",
        "        if any(replica.state is ReplicaState.READY for replica in serving):",
        "        if serving:",
        SINGLE,
    ),
    Mutant(
        "policy: deadlines do not order loads",
        f"{PLACEMENT}/urgency.py",
        "jobs.sort(key=lambda job: (job.latest_start_ms, -job.demand.priority, job.demand.model))",
        "jobs.sort(key=lambda job: job.demand.model)",
        SINGLE,
    ),
    Mutant(
        "policy: lost hosts keep the slots of the store",
        f"{PLACEMENT}/round.py",
        "if endpoint is None or endpoint.lost:",
        "if endpoint is None:",
        SINGLE,
    ),
    Mutant(
        "policy: expected requests are not weighed against the price of holding",
        f"{PLACEMENT}/arrivals/outlook.py",
        "gain_ms = chance * cold_start_ms - hold_price * hold_ms",
        "gain_ms = chance * cold_start_ms",
        f"{TESTS}/test_placement_retention.py",
    ),
    Mutant(
        "policy: nothing is loaded ahead of a nightly session",
        f"{PLACEMENT}/arrivals/session_starts.py",
        "if days < LEAST_DAYS or not self.starts_ms:",
        "if days >= 0 or not self.starts_ms:",
        f"{TESTS}/test_placement_retention.py",
    ),
    Mutant(
        "policy: one adapter is unloaded twice in a round",
        f"{PLACEMENT}/adapters.py",
        "if any(replica_id == replica.replica_id for replica_id, _ in plan.adapters_going):",
        "if replica is None:",
        SINGLE,
    ),
]
