"""List deliberate faults in the renewal of connections, and in what entries tell each other."""

from mutants.mutant import Mutant

LINKS = "packages/hemlockdock-core/hemlockdock_core/links/"
DELIVERY = "packages/hemlockdock-core/tests/test_delivery.py"
PAIRS = "tools/tests/test_link_pairs.py"
ROUNDS = "tools/tests/test_link_rounds.py"
ENTRY = "packages/hemlockdock-entry/hemlockdock_entry/"
QUARANTINE = "packages/hemlockdock-entry/tests/test_gateway_quarantine.py"
CRASHES = "tools/tests/test_crash_rounds.py"
CONTROL = "packages/hemlockdock-control/"
NODES = CONTROL + "tests/test_fleet_nodes.py"

MUTANTS = [
    Mutant(
        "renew one direction only",
        LINKS + "message_transport.py",
        "if body.renew and self._may_be_silent(peer) and self._renewal_budget.take():",
        "if False:",
        ROUNDS,
    ),
    Mutant(
        "replace a connection over which the peer is heard",
        LINKS + "message_transport.py",
        "renew_other=not delivery.is_heard(self._reactor.seconds())",
        "renew_other=True",
        PAIRS,
    ),
    Mutant(
        "send nothing again",
        LINKS + "delivery.py",
        "        return frames\n",
        "        return []\n",
        DELIVERY,
    ),
    Mutant(
        "deliver again what was received",
        LINKS + "message_transport.py",
        "if not peer.delivery.record_received(frame.number, self._reactor.seconds()):",
        "if not peer.delivery.record_received(frame.number, 0.0) and False:",
        PAIRS,
    ),
    Mutant(
        "send a new process what its predecessor got",
        LINKS + "delivery.py",
        "self.acknowledge(self._last_sent)",
        "pass",
        PAIRS,
    ),
    Mutant(
        "renew as often while a peer is frozen",
        LINKS + "delivery.py",
        "min(2 * self._renew_after_s, MAX_RENEW_AFTER_S)",
        "self._renew_after_s",
        PAIRS,
    ),
    Mutant(
        "let anything that is heard stand for an answer",
        LINKS + "delivery.py",
        "        self._peer_acknowledges = True\n        self._heard_s = now_s\n",
        "        self._peer_acknowledges = True\n        self._questions.clear()\n",
        DELIVERY,
    ),
    Mutant(
        "take the time in which the process did not run for silence",
        LINKS + "delivery.py",
        "        self._clock_start_s += seconds\n",
        "",
        DELIVERY,
    ),
    Mutant(
        "renew connections to a version that acknowledges nothing",
        LINKS + "delivery.py",
        "            self._peer_acknowledges = False\n",
        "",
        PAIRS,
    ),
    Mutant(
        "hold frames for a peer that never answered",
        LINKS + "delivery.py",
        "self.holds = self.is_known",
        "self.holds = True",
        DELIVERY,
    ),
    Mutant(
        "tell the other entries of no crash",
        ENTRY + "gateway/crash_reports.py",
        "self._gateway.other_entries.tell(CrashNotice(row.endpoint_id, reported))",
        "pass",
        CRASHES,
    ),
    Mutant(
        "count a crash once for each entry that saw it",
        ENTRY + "routing/crash_tracker.py",
        "return now - self.crashed_s < same_crash_s",
        "return False",
        QUARANTINE,
    ),
    Mutant(
        "forget an entry as soon as the leader does",
        ENTRY + "gateway/other_entries.py",
        "self._until_s_by_address[address] = now_s + KEEP_S",
        "pass",
        QUARANTINE,
    ),
    Mutant(
        "tell an entry that was started anew nothing",
        CONTROL + "hemlockdock_control/fleet/entry_lists.py",
        "None if is_new else self._sent_by_address.get(address)",
        "self._sent_by_address.get(address)",
        NODES,
    ),
    Mutant(
        "tell the entries of the own interface of no crash",
        ENTRY + "tasks/shared_crashes.py",
        "self._tell(CrashNotice(endpoint_id, {fingerprint: ()}))",
        "pass",
        CRASHES,
    ),
]
