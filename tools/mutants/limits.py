"""List deliberate faults in what keeps to the limits and pauses of endpoints."""

from mutants.mutant import Mutant

ENTRY = "packages/hemlockdock-entry/hemlockdock_entry/"
GATEWAY = ENTRY + "gateway/"
GATEWAY_TESTS = "packages/hemlockdock-entry/tests/"
PERMITS = GATEWAY_TESTS + "test_permit_tracker.py"
REST = GATEWAY_TESTS + "test_gateway_rest.py"
FLEET = "packages/hemlockdock-control/hemlockdock_control/fleet/"
CONTROL_TESTS = "packages/hemlockdock-control/tests/"
SHARES = CONTROL_TESTS + "test_request_limits.py"
ROUNDS = "tools/tests/test_limit_rounds.py"

MUTANTS = [
    Mutant(
        "write requests without permit",
        GATEWAY + "endpoint_gate.py",
        "return self._gateway.permits.may_send(endpoint_id, permit)",
        "return True",
        PERMITS,
    ),
    Mutant(
        "ask the gate only when an endpoint is chosen",
        GATEWAY + "endpoint_connection.py",
        "if not self._try.may_send():",
        "if False:",
        REST,
    ),
    Mutant(
        "send what waited for an adapter without asking",
        GATEWAY + "model_queue.py",
        "if held and not exchange.ended and may_send:",
        "if held and not exchange.ended:",
        REST,
    ),
    Mutant(
        "end a longer pause by a shorter one",
        GATEWAY + "endpoint_pauses.py",
        "max(until_s, self.until_s(endpoint_id))",
        "until_s",
        REST,
    ),
    Mutant(
        "lift a limit by an answer to an older request",
        GATEWAY + "endpoint_limits.py",
        "if sent_s > limit.since_s and head",
        "if head",
        PERMITS,
    ),
    Mutant(
        "use permits that were booked under a much higher limit",
        GATEWAY + "endpoint_permits.py",
        "self.generation += 1",
        "pass",
        PERMITS,
    ),
    Mutant(
        "take a reply that comes after a freeze",
        GATEWAY + "permit_tracker.py",
        "if asked is None or now_s - asked.asked_s >= REPLY_TIMEOUT_S:",
        "if asked is None:",
        PERMITS,
    ),
    Mutant(
        "let entries out of touch begin together",
        ENTRY + "own_pace.py",
        "earliest_s + self._random.uniform(0.0, interval_s)",
        "earliest_s",
        ROUNDS,
    ),
    Mutant(
        "issue the share of entries out of touch",
        FLEET + "request_limits.py",
        " * (counts.total - counts.silent) / counts.total",
        "",
        SHARES,
    ),
    Mutant(
        "begin with permits",
        FLEET + "permit_pacer.py",
        "self._permits = 0.0",
        "self._permits = MIN_KEPT",
        SHARES,
    ),
    Mutant(
        "forget limits with the leader",
        FLEET + "request_limits.py",
        "if row.limit_per_s is not None and",
        "if False and",
        SHARES,
    ),
    Mutant(
        "issue permits without a lease",
        FLEET + "nodes.py",
        "        if self._replicator.has_lease:\n            reply",
        "        if True:\n            reply",
        CONTROL_TESTS + "test_fleet_nodes.py",
    ),
    Mutant(
        "take a copy at a limited engine for a full one",
        FLEET + "model_copies.py",
        "if copies > self.limited_by_name.get(name, 0):",
        "if copies:",
        CONTROL_TESTS + "test_fleet_limited_engines.py",
    ),
    Mutant(
        "promise that a call has not run after one attempt was lost",
        ENTRY + "services/service_call.py",
        "        if refusal.not_run is not NotRun.TRUE:\n            self._may_have_run = True\n",
        "",
        GATEWAY_TESTS + "test_service_refusals.py",
    ),
]
