"""List deliberate faults in the entry."""

from mutants.mutant import Mutant

ENTRY = "packages/hemlockdock-entry/hemlockdock_entry/"
TESTS = "packages/hemlockdock-entry/tests/"
COORDINATOR = TESTS + "test_coordinator.py"
DECISIONS = TESTS + "test_decisions.py"
STREAMS = TESTS + "test_streams.py"
SERVICE = TESTS + "test_service.py"

MUTANTS = [
    Mutant(
        "retry what may have run although it is not repeatable",
        ENTRY + "routing/retry.py",
        "    if not not_run and not request.repeatable:\n        return RetryDecision.REFUSE\n",
        "",
        COORDINATOR,
    ),
    Mutant(
        "run under another entry's claim",
        ENTRY + "run_once/decision.py",
        "if result.owner == owner and result.stream_id == stream_id:",
        "if result.state:",
        COORDINATOR,
    ),
    Mutant(
        "free the claim of a run whose outcome is unknown",
        ENTRY + "tasks/once_exchange.py",
        "self._claim.finish(RunState.RAN if ran else RunState.UNKNOWN)",
        "self._claim.finish(RunState.NOT_RUN)",
        COORDINATOR,
    ),
    Mutant(
        "say not run of a key without its claim",
        ENTRY + "tasks/once_exchange.py",
        "        if refusal.not_run is NotRun.TRUE and not self._is_known_not_run(refusal, held):",
        "        if False:",
        COORDINATOR,
    ),
    Mutant(
        "say not run at the deadline after a dispatch",
        ENTRY + "tasks/exchange.py",
        "return NotRun.TRUE if self.attempt_count == 0 else NotRun.UNKNOWN",
        "return NotRun.TRUE",
        COORDINATOR,
    ),
    Mutant(
        "take frames of any sender",
        ENTRY + "tasks/attempt_registry.py",
        "if attempt is None or attempt.node.node_id != sender:",
        "if attempt is None:",
        TESTS + "test_attempt.py",
    ),
    Mutant(
        "route to a node that leaves",
        ENTRY + "routing/router.py",
        "if node is None or node.leaving or node.lost:",
        "if node is None or node.lost:",
        COORDINATOR,
    ),
    Mutant(
        "forget requests in flight at a node that is lost",
        ENTRY + "tasks/coordinator.py",
        "            if gone:\n",
        "            if node is None:\n",
        COORDINATOR,
    ),
    Mutant(
        "leave a request past its deadline in the queue",
        ENTRY + "tasks/exchange.py",
        "        self.coordinator.waiting.dequeue(self)\n",
        "",
        COORDINATOR,
    ),
    Mutant(
        "pass on bytes twice",
        ENTRY + "streams/assembler.py",
        "        new = data[self.offset - offset :]\n        if not new:\n",
        "        new = data\n        if not new:\n",
        STREAMS,
    ),
    Mutant(
        "end a stream that has a gap",
        ENTRY + "streams/assembler.py",
        "        if self.offset < length:\n            return GAP\n",
        "",
        STREAMS,
    ),
    Mutant(
        "mark events with the place before them",
        ENTRY + "streams/event_id_inserter.py",
        "            self._offset += end - start\n"
        '            events.append(b"%s%d\\n%s" % (self._prefix, self._offset, data[start:end]))\n',
        '            events.append(b"%s%d\\n%s" % (self._prefix, self._offset, data[start:end]))\n'
        "            self._offset += end - start\n",
        STREAMS,
    ),
    Mutant(
        "end a broken stream in silence",
        ENTRY + "callers/http_reply.py",
        '            self._http.write(b"event: error\\ndata: " + body + b"\\n\\n")\n',
        "",
        SERVICE,
    ),
    Mutant(
        "let a run go on after its caller has gone",
        ENTRY + "tasks/attempt.py",
        "        self._send_cancel()\n        self.close()\n",
        "        self.close()\n",
        SERVICE,
    ),
    Mutant(
        "let a slow caller keep its connection",
        ENTRY + "callers/caller_channel.py",
        "        self.transport.abortConnection()\n",
        "        pass\n",
        SERVICE,
    ),
    Mutant(
        "let one caller fill a queue",
        ENTRY + "waiting/queue.py",
        "if caller_count >= self._caller_limit:",
        "if caller_count >= self._limit:",
        DECISIONS,
    ),
    Mutant(
        "retry without a budget",
        ENTRY + "routing/retry_budget.py",
        "        self._tokens -= 1.0\n",
        "",
        DECISIONS,
    ),
    Mutant(
        "eject every replica that looks bad",
        ENTRY + "routing/router.py",
        "        if len(candidates) >= len(usable) * (1 - MAX_EJECTED_FRACTION):\n"
        "            return candidates\n",
        "        if candidates:\n            return candidates\n",
        DECISIONS,
    ),
    Mutant(
        "put two suspects on one endpoint",
        ENTRY + "routing/router.py",
        "            if suspect and record.suspects_in_flight:\n                continue\n",
        "",
        DECISIONS,
    ),
    Mutant(
        "keep no room for lookups",
        ENTRY + "services/service_scheduler.py",
        "RESERVED_FRACTION = 0.25",
        "RESERVED_FRACTION = 0.0",
        DECISIONS,
    ),
]
