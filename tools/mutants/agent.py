"""List deliberate faults of the agent."""

from mutants.mutant import Mutant

AGENT = "packages/hemlockdock-agent/hemlockdock_agent"
TESTS = "packages/hemlockdock-agent/tests"
ORDER_TEST = f"{TESTS}/test_order_gate.py"
REQUEST_TEST = f"{TESTS}/test_request_gate.py"
ANSWER_TEST = f"{TESTS}/test_answers.py"
SERVICE_TEST = f"{TESTS}/test_service.py"

MUTANTS = [
    Mutant(
        "an order for another incarnation is obeyed",
        f"{AGENT}/orders/gate.py",
        "if self.lapsed or (order.incarnation and order.incarnation != self._incarnation):",
        "if self.lapsed:",
        ORDER_TEST,
    ),
    Mutant(
        "an order with an old fence is obeyed",
        f"{AGENT}/orders/gate.py",
        "if order.fence < self.highest_fence:",
        "if False:",
        ORDER_TEST,
    ),
    Mutant(
        "a repeated order is carried out again",
        f"{AGENT}/orders/gate.py",
        "        if known is not None:\n            return [ReportResult",
        "        if known is not None and known.in_flight:\n            return [ReportResult",
        ORDER_TEST,
    ),
    Mutant(
        "orders overlap at an engine that ignores fences",
        f"{AGENT}/orders/gate.py",
        "if self._one_at_a_time and any_in_flight:",
        "if False:",
        ORDER_TEST,
    ),
    Mutant(
        "a restarted agent does not wait out its predecessor's order",
        f"{AGENT}/orders/gate.py",
        "now_ms + (self._timeout_ms if must_wait else 0)",
        "now_ms",
        ORDER_TEST,
    ),
    Mutant(
        "an order whose answer was lost is taken for done",
        f"{AGENT}/orders/gate.py",
        "        if reply.outcome is None:",
        "        if reply.outcome is None and self._end(record, OrderOutcome.DONE, '', now_ms):",
        ORDER_TEST,
    ),
    Mutant(
        "an unload of what is not held stays in the agent",
        f"{AGENT}/orders/preparation.py",
        "    # Sent even if the replica is not held: its fence blocks a load that is still in"
        " transit.\n",
        "    if order.replica_id not in holdings.replica_by_id:\n"
        "        return OrderOutcome.DONE, 'not held'\n",
        ORDER_TEST,
    ),
    Mutant(
        "memory is not checked before a load",
        f"{AGENT}/orders/holdings.py",
        "return self.reserved_mb + memory_mb <= min(self._settings_mb, self._engine_mb)",
        "return True",
        ORDER_TEST,
    ),
    Mutant(
        "an inventory overrules orders that came after it was asked for",
        f"{AGENT}/orders/holdings.py",
        "if replica_id not in open_ids and self.changed_at_by_id.get(replica_id, 0) <= as_of",
        "if replica_id not in open_ids",
        ORDER_TEST,
    ),
    Mutant(
        "an older inventory overrules a newer one",
        f"{AGENT}/orders/gate.py",
        "if request.number < self._answered_request:",
        "if False:",
        ORDER_TEST,
    ),
    Mutant(
        "a replica that still loads is reported as loaded",
        f"{AGENT}/orders/gate.py",
        "            if not replica.ready:\n                fences.add",
        "            if False:\n                fences.add",
        ORDER_TEST,
    ),
    Mutant(
        "a replica is unloaded under its requests",
        f"{AGENT}/orders/gate.py",
        "if isinstance(record.order, UnloadOrder) and is_busy(replica_id):",
        "if False:",
        ORDER_TEST,
    ),
    Mutant(
        "a repeated dispatch runs again",
        f"{AGENT}/requests/executor.py",
        "        if self._gate.is_known(key):",
        "        if False:",
        SERVICE_TEST,
    ),
    Mutant(
        "a replica takes one request too many",
        f"{AGENT}/requests/gate.py",
        ">= (limit or DEFAULT_REQUESTS_PER_REPLICA)",
        "> (limit or DEFAULT_REQUESTS_PER_REPLICA)",
        REQUEST_TEST,
    ),
    Mutant(
        "an ended request still counts",
        f"{AGENT}/requests/gate.py",
        "self._in_flight_by_replica[run.dispatch.replica_id] -= 1",
        "self._in_flight_by_replica[run.dispatch.replica_id] -= 0",
        REQUEST_TEST,
    ),
    Mutant(
        "two suspects run side by side",
        f"{AGENT}/requests/gate.py",
        "            if run.dispatch.fingerprint in view.suspects:",
        "            if run.dispatch.fingerprint == dispatch.fingerprint:",
        REQUEST_TEST,
    ),
    Mutant(
        "an endpoint that is leaving takes new work",
        f"{AGENT}/requests/gate.py",
        "        if self.draining:",
        "        if False:",
        SERVICE_TEST,
    ),
    Mutant(
        "a replica that is to go takes new work",
        f"{AGENT}/requests/gate.py",
        "if held is None or not held.ready or view.unloading:",
        "if held is None or not held.ready:",
        REQUEST_TEST,
    ),
    Mutant(
        "a resumed answer lacks its first byte",
        f"{AGENT}/answers/buffer.py",
        "for start in range(offset, self.length, CHUNK_BYTES):",
        "for start in range(offset + 1, self.length, CHUNK_BYTES):",
        ANSWER_TEST,
    ),
    Mutant(
        "kept answers are not bounded",
        f"{AGENT}/answers/store.py",
        "if self.bytes_held + len(data) > self._limit and not",
        "if False and not",
        ANSWER_TEST,
    ),
    Mutant(
        "the first reader keeps an answer that another one took over",
        f"{AGENT}/requests/answer_sender.py",
        "            run.reader = reader",
        "            pass",
        ANSWER_TEST,
    ),
    Mutant(
        "a broken connection looks like a whole answer",
        "packages/hemlockdock-core/hemlockdock_core/http/body_receiver.py",
        "self._on_end(is_whole or (has_unmarked_end and self._tracker.closed_cleanly))",
        "self._on_end(True)",
        SERVICE_TEST,
    ),
    Mutant(
        "a crash is taken for a broken connection",
        f"{AGENT}/requests/crash_detector.py",
        "crashed = [run for run in in_flight if run.boot_id != boot_id]",
        "crashed = []",
        SERVICE_TEST,
    ),
    Mutant(
        "a request that may run once is cut off by a cancel",
        f"{AGENT}/requests/executor.py",
        "        if run.dispatch.run_once:",
        "        if False:",
        SERVICE_TEST,
    ),
    Mutant(
        "an agent that is cut off keeps its replicas",
        f"{AGENT}/session.py",
        '        logger.warning("no contact with control for too long"',
        '        return\n        logger.warning("no contact with control for too long"',
        SERVICE_TEST,
    ),
    Mutant(
        "a second agent guards the same engine",
        f"{AGENT}/lifecycle/engine_lock.py",
        "            lock.bind(self._name)",
        "            pass",
        f"{TESTS}/test_lifecycle.py",
    ),
]
