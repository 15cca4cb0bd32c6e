"""List deliberate faults in how streams and other responses end, and where streams continue."""

from mutants.mutant import Mutant

GATEWAY = "packages/hemlockdock-entry/hemlockdock_entry/gateway/"
GATEWAY_TESTS = "packages/hemlockdock-entry/tests/"
WHOLE = GATEWAY_TESTS + "test_gateway.py"
STREAMS = GATEWAY_TESTS + "test_gateway_streams.py"
ENDINGS = GATEWAY_TESTS + "test_gateway_endings.py"
VERSIONS = GATEWAY_TESTS + "test_gateway_software_versions.py"
SERVICE_CLIENT = GATEWAY_TESTS + "test_service_client.py"
CONTROL = "packages/hemlockdock-control/"
ORIGINS = CONTROL + "tests/test_fleet_stream_origins.py"
ORDERS = "tools/tests/test_stream_orders.py"
AGENT = "packages/hemlockdock-agent/"
HTTP = "packages/hemlockdock-core/hemlockdock_core/http/"

MUTANTS = [
    Mutant(
        "resume a stream from its beginning",
        GATEWAY + "forwarded_request.py",
        "headers.append((names.last_event_id, last_event_id))",
        'headers.append((names.last_event_id, b"0"))',
        STREAMS,
    ),
    Mutant(
        "keep the part of an event that broke off",
        GATEWAY + "try_sequence.py",
        "            self._response_writer.discard_partial_event()\n"
        "            self._gateway.quarantine.repeat(",
        "            self._gateway.quarantine.repeat(",
        STREAMS,
    ),
    Mutant(
        "take an answer that was reset for whole",
        "packages/hemlockdock-core/hemlockdock_core/http/response_reader.py",
        "if self._head is None or self._head.framed or not cleanly:",
        "if self._head is None or self._head.framed:",
        WHOLE,
    ),
    Mutant(
        "take a stream that was cut inside an event for whole",
        GATEWAY + "response_check.py",
        "    if inside_event:\n",
        "    if False:\n",
        ENDINGS,
    ),
    Mutant(
        "take a connection that closes before the first event for an empty stream",
        GATEWAY + "response_check.py",
        "if framing is Framing.CONNECTION_END and not has_events:",
        "if False:",
        ENDINGS,
    ),
    Mutant(
        "send chunks to a client of HTTP/1.0",
        GATEWAY + "messages.py",
        'return self.http_version != "1.0"',
        "return True",
        ENDINGS,
    ),
    Mutant(
        "judge any answer on a stream route by events",
        GATEWAY + "response_check.py",
        "return not content_type or is_event_stream(content_type)",
        "return True",
        ENDINGS,
    ),
    Mutant(
        "know events by one kind of line end only",
        HTTP + "event_end.py",
        'EVENT_ENDS = (b"\\n\\n", b"\\r\\n\\r\\n")',
        'EVENT_ENDS = (b"\\n\\n", b"\\n\\n")',
        ENDINGS,
    ),
    Mutant(
        "take a reset for the end of a body without a length",
        HTTP + "close_tracker.py",
        "tracker.closed_cleanly = reason.check(ConnectionDone) is not None",
        "tracker.closed_cleanly = True",
        SERVICE_CLIENT,
    ),
    Mutant(
        "take an engine's stream that ends inside an event for whole",
        AGENT + "hemlockdock_agent/requests/executor.py",
        "if not is_complete or run.inside_event:",
        "if not is_complete:",
        AGENT + "tests/test_service.py",
    ),
    Mutant(
        "continue at any software version",
        GATEWAY + "continuation.py",
        "return bool(origin.software_version) and row.software_version == origin.software_version",
        "return True",
        VERSIONS,
    ),
    Mutant(
        "take an unknown software version for a match",
        GATEWAY + "continuation.py",
        "return bool(origin.software_version) and row.software_version == origin.software_version",
        "return row.software_version == origin.software_version",
        VERSIONS,
    ),
    Mutant(
        "let a client that resumes its stream go anywhere",
        GATEWAY + "stream_binding.py",
        "        return bool(last_event_id or exchange.content.resumed_request_id)",
        "        return False",
        VERSIONS,
    ),
    Mutant(
        "hold up requests behind a stream that waits for its version",
        GATEWAY + "model_queue.py",
        "is_full = is_full or exchange.binding.origin is None",
        "is_full = True",
        VERSIONS,
    ),
    Mutant(
        "leave a broken-off stream in its model's queue",
        GATEWAY + "proxy_exchange.py",
        "        self._gateway.model_queue.dequeue(self)\n",
        "        if not self._response_writer.started:\n"
        "            self._gateway.model_queue.dequeue(self)\n",
        VERSIONS,
    ),
    Mutant(
        "keep an origin at one member only",
        GATEWAY + "origin_lookup.py",
        "        if len(members) <= ORIGIN_COPIES:\n            return members\n",
        "        if len(members) <= ORIGIN_COPIES:\n            return members[:1]\n",
        VERSIONS,
    ),
    Mutant(
        "infer an origin without a lease",
        CONTROL + "hemlockdock_control/fleet/stream_origins.py",
        "if not question.route_scope or not self._replicator.has_lease:",
        "if not question.route_scope:",
        ORIGINS,
    ),
    Mutant(
        "forget a version that came and went",
        CONTROL + "hemlockdock_control/state/routes.py",
        "            self.former_versions.note([before])",
        "            pass",
        ORDERS,
    ),
    Mutant(
        "forget the pool that a route led to",
        CONTROL + "hemlockdock_control/state/routes.py",
        "            self.former_pools.note(self._former_pools(new_by_scope))",
        "            pass",
        ORDERS,
    ),
    Mutant(
        "look back for a short time only",
        CONTROL + "hemlockdock_control/fleet/stream_origins.py",
        "since_ms = self._wall_ms() - MAX_KEEP_MS",
        "since_ms = self._wall_ms() - 5_000",
        ORDERS,
    ),
]
