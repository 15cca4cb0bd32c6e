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
        f"{PLACEMENT}/scale_up.py",
        "    if replicas_left <= 0:",
        "    replicas_left = max(replicas_left, 1)\n    if replicas_left <= 0:",
        FUZZ,
    ),
    Mutant(
        "policy: memory taken by this round is forgotten",
        f"{PLACEMENT}/plan.py",
        "endpoint.reserved_mb - self.allocated_mb_by_node.get(node_id, 0)",
        "endpoint.reserved_mb",
        FUZZ,
    ),
    Mutant(
        "policy: one load too many at full speed",
        f"{LOADING}/store_budget.py",
        "if self.in_flight >= self.max_in_flight:",
        "if self.in_flight > self.max_in_flight:",
        FUZZ,
    ),
    Mutant(
        "policy: the rate of the store is not looked at",
        f"{LOADING}/store_budget.py",
        "return len(self.starts_ms) + 1 <= max(self.max_starts_per_s, 1.0)",
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
        f"{PLACEMENT}/endpoint_choice.py",
        "    for replica, gain_ms in list_victims(node_id):",
        "    for replica, gain_ms in list_victims(node_id)[:0]:",
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
        f"{PLACEMENT}/scale_up.py",
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
        "key=lambda load: (load.latest_start_ms, -load.demand.priority, load.demand.model)",
        "key=lambda load: load.demand.model",
        SINGLE,
    ),
    Mutant(
        "policy: lost hosts keep the slots of the store",
        f"{PLACEMENT}/plan.py",
        "if endpoint is None or endpoint.lost:",
        "if endpoint is None:",
        SINGLE,
    ),
    Mutant(
        "policy: expected requests are not weighed against the price of holding",
        f"{PLACEMENT}/arrivals/forecast.py",
        "gain_ms = probability * cold_start_cost_ms - hold_cost * expected_hold_ms",
        "gain_ms = probability * cold_start_cost_ms",
        f"{TESTS}/test_placement_retention.py",
    ),
    Mutant(
        "policy: nothing is loaded ahead of a nightly session",
        f"{PLACEMENT}/arrivals/session_starts.py",
        "if days < MIN_DAYS or not self.starts_ms:",
        "if days >= 0 or not self.starts_ms:",
        f"{TESTS}/test_placement_retention.py",
    ),
    Mutant(
        "policy: one adapter is unloaded twice in a round",
        f"{PLACEMENT}/adapters.py",
        "if any(replica_id == replica.replica_id for replica_id, _ in plan.adapter_unloads):",
        "if replica is None:",
        SINGLE,
    ),
]
