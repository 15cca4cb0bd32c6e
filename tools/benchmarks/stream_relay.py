"""Measure the processor time that an entry needs to relay streams.

Run in a process of its own. Prints one JSON object.
"""

import json
import subprocess
import sys
import time

from twisted.internet import reactor
from twisted.internet.threads import deferToThread

from benchmarks.entry_simulation import SETTINGS, NullControlLink
from benchmarks.stream_peer import STREAMS
from hemlockdock_core.rows import (
    ClassRow,
    ModelRow,
    NodeRow,
    ReplicaRow,
    ReplicaState,
    RoutingTable,
)
from hemlockdock_core.settings import parse_settings
from hemlockdock_entry.service import EntryService

DEADLINE_MS = 120_000


class NullServiceLink(NullControlLink):
    """Null link with the lifecycle methods that an entry service calls."""

    def start(self):
        """Do nothing."""

    stop = set_leaving = start

    def handle(self, frame):
        """Return False, since no frame is for this link."""
        return False


def routing_table(agent_address):
    """Return a routing table with one agent that can run all streams at once."""
    rows = RoutingTable()
    rows.put(ClassRow("live", "live", DEADLINE_MS, True, 50, 60))
    rows.put(ModelRow("m", "v1", "live", 50, 1, STREAMS, 1_000))
    rows.put(NodeRow("agent-1", "agent", "host", "a", agent_address, 1, False, False))
    rows.put(ReplicaRow("r", "m", "v1", "agent-1", ReplicaState.READY, 1, [], STREAMS))
    return rows


def main():
    """Print the number of relayed tokens, and the processor and wall time used."""
    peer = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.stream_peer"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    link = NullServiceLink(routing_table(peer.stdout.readline().strip()))
    settings = parse_settings(SETTINGS.format(number=1, entry="queue_limit = 1000"), "bench")
    entry = EntryService(reactor, settings, lambda *args, **kwargs: link)
    started = []

    def start_streams(_):
        started.extend((time.process_time(), time.perf_counter()))
        peer.stdin.write(f"http://{entry.http_address}/v1/completions\n")
        peer.stdin.flush()
        deferToThread(peer.stdout.readline).addCallback(finish)

    def finish(line):
        figures = {
            "tokens": int(line),
            "core_s": time.process_time() - started[0],
            "elapsed_s": time.perf_counter() - started[1],
        }
        print(json.dumps(figures), flush=True)
        peer.wait()
        entry.stop().addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(lambda: entry.start().addCallback(start_streams))
    reactor.run()


if __name__ == "__main__":
    main()
