"""List deliberate faults in what serves a fleet."""

from mutants.mutant import Mutant

GATEWAY = "packages/hemlockdock-entry/hemlockdock_entry/gateway/"
GATEWAY_TESTS = "packages/hemlockdock-entry/tests/"
WHOLE = GATEWAY_TESTS + "test_gateway.py"
MODELS = GATEWAY_TESTS + "test_gateway_models.py"
DECISIONS = GATEWAY_TESTS + "test_gateway_decisions.py"
QUARANTINE = GATEWAY_TESTS + "test_gateway_quarantine.py"
PARTS = GATEWAY_TESTS + "test_gateway_prompt_parts.py"
DRAIN = GATEWAY_TESTS + "test_gateway_drain.py"
CONSENSUS = "packages/hemlockdock-control/hemlockdock_control/consensus/"
FLEET = "packages/hemlockdock-control/hemlockdock_control/fleet/"
STATE = "packages/hemlockdock-control/hemlockdock_control/state/"
CONTROL_TESTS = "packages/hemlockdock-control/tests/"
PLANNER = CONTROL_TESTS + "test_membership_planner.py"
SEEDING = CONTROL_TESTS + "test_seeding.py"
PLACEMENT = CONTROL_TESTS + "test_fleet_placement.py"
STORE_CHOICE = CONTROL_TESTS + "test_fleet_store_choice.py"
STORE_LOADS = CONTROL_TESTS + "test_fleet_store_loads.py"
AGENT = "packages/hemlockdock-agent/hemlockdock_agent/fleet/"
AGENT_TESTS = "packages/hemlockdock-agent/tests/"
AGENT_TEST = AGENT_TESTS + "test_fleet.py"
LAB = "packages/hemlockdock-cli/tests/test_lab.py"

MUTANTS = [
    Mutant(
        "send again what may have run although it may run once",
        GATEWAY + "outcome.py",
        "may_resend = state.may_repeat or not state.may_have_run",
        "may_resend = True",
        DECISIONS,
    ),
    Mutant(
        "take any lost connection for a crash",
        GATEWAY + "crash_watch.py",
        "is_crash=result is ProbeResult.REFUSED",
        "is_crash=True",
        QUARANTINE,
    ),
    Mutant(
        "ask the quarantine at arrival only",
        GATEWAY + "proxy_exchange.py",
        "in_progress or self.refuse_unsendable():",
        "in_progress or (not self.tried_ids and self.refuse_unsendable()):",
        QUARANTINE,
    ),
    Mutant(
        "suspect parts that were answered before",
        GATEWAY + "part_quarantine.py",
        "return tuple(part for part in parts if not self.sound.contains(part, now_s))",
        "return tuple(parts)",
        PARTS,
    ),
    Mutant(
        "suspect the last part of a prompt",
        GATEWAY + "prompt_parts.py",
        '.split(",")[:-1]',
        '.split(",")',
        PARTS,
    ),
    Mutant(
        "condemn the parts of one request that comes again",
        "packages/hemlockdock-control/hemlockdock_control/state/crash_explanation.py",
        "len(record.requests) >= MIN_REQUESTS_OF_PART",
        "True",
        "packages/hemlockdock-control/tests/test_cluster_state.py",
    ),
    Mutant(
        "use an endpoint during its pause",
        GATEWAY + "endpoint_gate.py",
        "self._gateway.pauses.is_paused(endpoint_id)",
        "False",
        GATEWAY_TESTS + "test_gateway_pause.py",
    ),
    Mutant(
        "read a head without end",
        "packages/hemlockdock-core/hemlockdock_core/http/response_reader.py",
        "if self._overhead_bytes > MAX_OVERHEAD_BYTES:",
        "if False:",
        GATEWAY_TESTS + "test_gateway_endless.py",
    ),
    Mutant(
        "keep a place for a client that left while its adapter was loaded",
        GATEWAY + "model_queue.py",
        "        if self._adapters.remove_waiting(exchange):\n"
        "            self._release_reservation(exchange)\n",
        "        self._adapters.remove_waiting(exchange)\n",
        MODELS,
    ),
    Mutant(
        "say not run of what may have run",
        GATEWAY + "outcome.py",
        "NextMove.REPORT_UNKNOWN if state.may_have_run else NextMove.REFUSE_NOT_RUN",
        "NextMove.REFUSE_NOT_RUN",
        DECISIONS,
    ),
    Mutant(
        "take an answer to another request for the one awaited",
        GATEWAY + "endpoint_connection.py",
        "if response_id == self._try.request_id or",
        "if True or",
        WHOLE,
    ),
    Mutant(
        "take a success without signature",
        GATEWAY + "response_check.py",
        "if not head.value(names.signature) or head.value(CONTENT_ENCODING):",
        "if head.value(CONTENT_ENCODING):",
        WHOLE,
    ),
    Mutant(
        "work on for a client that left",
        GATEWAY + "proxy_exchange.py",
        "        self._leave()\n        self._tries.cancel()\n",
        "        self._leave()\n",
        WHOLE,
    ),
    Mutant(
        "let each entry spend the whole slack of all",
        GATEWAY + "windowed_retry_budget.py",
        "self._slack / max(1, share_divisor)",
        "self._slack",
        DECISIONS,
    ),
    Mutant(
        "take new requests until the process ends",
        GATEWAY + "service.py",
        "        self.gateway.refuses_new_requests = True\n",
        "",
        DRAIN,
    ),
    Mutant(
        "vote with an emptied folder under its old name",
        CONSENSUS + "seeding.py",
        "if settings.fleet.first_start and founders.find(ip) is not None:",
        "if founders.find(ip) is not None:",
        SEEDING,
    ),
    Mutant(
        "remove a silent voter that nobody replaces",
        CONSENSUS + "membership_planner.py",
        "    if not view.successors or len(voters) % 2 == 0:\n        return None\n",
        "",
        PLANNER,
    ),
    Mutant(
        "let an older route manifest overtake a newer one",
        STATE + "routes.py",
        "command.manifest.number <= before",
        "command.manifest.number == before",
        CONTROL_TESTS + "test_routes.py",
    ),
    Mutant(
        "lose the endpoints in a snapshot",
        STATE + "snapshots.py",
        "        list(state.endpoints.row_by_id.values()),\n",
        "        [],\n",
        CONTROL_TESTS + "test_routes.py",
    ),
    Mutant(
        "unload a model while requests for it are sent",
        FLEET + "placement.py",
        "            if now_s < pending.not_before_s:\n                continue\n",
        "",
        PLACEMENT,
    ),
    Mutant(
        "displace a model that runs requests",
        FLEET + "exchange_search.py",
        "if is_busy and not may_evict_busy and",
        "if False and",
        PLACEMENT,
    ),
    Mutant(
        "load from the store what lies on a host",
        FLEET + "model_choice.py",
        "            if is_on_host:\n                return False\n",
        "",
        PLACEMENT,
    ),
    Mutant(
        "over-commit an engine's memory",
        AGENT + "model_change.py",
        "if not memory.has_room_for_model(report, message.load):",
        "if False:",
        AGENT_TEST,
    ),
    Mutant(
        "give an order while another is carried out",
        AGENT + "model_change.py",
        "        if report.busy:\n            return NextStep(ChangeStep.WAIT)\n",
        "",
        AGENT_TEST,
    ),
    Mutant(
        "unload an adapter that entries rely on",
        AGENT + "adapters.py",
        "elif requested.held_until_s <= now_s:",
        "elif True:",
        AGENT_TEST,
    ),
    Mutant(
        "open more connections to an endpoint than the entry's share",
        GATEWAY + "pool_endpoints.py",
        "if self._health.for_endpoint(row.endpoint_id).in_flight < share",
        "if self._health.for_endpoint(row.endpoint_id).in_flight < 99",
        WHOLE,
    ),
    Mutant(
        "let a request wait for what only the store has",
        GATEWAY + "model_availability.py",
        "return spec.store_load_ms / MS_PER_S",
        "return spec.memory_load_ms / MS_PER_S",
        MODELS,
    ),
    Mutant(
        "take a model for missing while a host is not known",
        GATEWAY + "model_availability.py",
        "if (pool.name, model) in self._on_host or pool.name in self._pools_with_unknown_hosts:",
        "if (pool.name, model) in self._on_host:",
        MODELS,
    ),
    Mutant(
        "trust adapters of an endpoint that was gone",
        GATEWAY + "adapter_tracker.py",
        "                del self._held_until_s_by_key[key]\n",
        "                pass\n",
        MODELS,
    ),
    Mutant(
        "let an adapter keep its slot while others wait",
        AGENT + "adapters.py",
        "if not requested.waiting_entries or key in yielding:",
        "if not requested.waiting_entries:",
        AGENT_TEST,
    ),
    Mutant(
        "let adapters give way while the engine is busy",
        AGENT + "adapters.py",
        "        if report.busy:\n",
        "        if False:\n",
        AGENT_TEST,
    ),
    Mutant(
        "never learn that the store is slow",
        FLEET + "store_concurrency.py",
        "        if supported < self.concurrency_limit:\n",
        "        if False:\n",
        CONTROL_TESTS + "test_fleet_store_concurrency.py",
    ),
    Mutant(
        "forget the loads that another leader began",
        FLEET + "store_admission.py",
        "if not view.occupies_store:",
        "if view.pending is None:",
        STORE_CHOICE,
    ),
    Mutant(
        "count a load from the store as a copy",
        FLEET + "model_copies.py",
        "if not _counts_as_copy(view.pending, now_s):",
        "if False:",
        STORE_CHOICE,
    ),
    Mutant(
        "count every change of an earlier leader as a load from the store",
        FLEET + "engine_view.py",
        "return bool(self.coming_from_store) or (self.changing and not self.changing_to)",
        "return bool(self.coming_from_store) or self.changing",
        LAB,
    ),
    Mutant(
        "forget what engines that leave load from the store",
        FLEET + "placement.py",
        "history.unavailable = tuple(engines.unavailable_by_id.values())",
        "history.unavailable = ()",
        STORE_LOADS,
    ),
    Mutant(
        "load from the store at once what a crashed host has",
        FLEET + "placement_history.py",
        "if now_s - host.absent_since_s < wait_s:",
        "if False:",
        STORE_CHOICE,
    ),
    Mutant(
        "send reports behind orders",
        AGENT + "engine_client.py",
        'REPORT_CONNECTION = "reports"',
        'REPORT_CONNECTION = "orders"',
        AGENT_TESTS + "test_fleet_engine_client.py",
    ),
    Mutant(
        "end a change while an engine that leaves still loads",
        AGENT + "model_change.py",
        "if report.busy:",
        "if report.busy and not report.leaving:",
        AGENT_TEST,
    ),
    Mutant(
        "fetch nothing for clients that will come back",
        FLEET + "model_choice.py",
        "if use.waiting or use.returning:",
        "if use.waiting:",
        STORE_CHOICE,
    ),
    Mutant(
        "wait for the next poll of the directory before leading",
        FLEET + "service.py",
        "        # A new leader has no endpoints for entries until it has read the directory.\n"
        "        self._read_directory()\n",
        "",
        CONTROL_TESTS + "test_fleet_service.py",
    ),
    Mutant(
        "ask for the leader only at each heartbeat",
        "packages/hemlockdock-core/hemlockdock_core/node/control_link.py",
        "if self._search.is_on(now_s) and self._search.is_due(",
        "if False and self._search.is_due(",
        "packages/hemlockdock-core/tests/test_fleet_link.py",
    ),
    Mutant(
        "leave a lost dispatch to the deadline",
        "packages/hemlockdock-entry/hemlockdock_entry/tasks/attempt.py",
        "            self._schedule_retransmit(FIRST_RETRANSMIT_S)\n",
        "            pass\n",
        GATEWAY_TESTS + "test_attempt.py",
    ),
]
