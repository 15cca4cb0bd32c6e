"""Run one control member, or one echo, as a process of its own for benchmarks.

Usage: ``control_member.py member SETTINGS`` or ``control_member.py echo ADDRESS``. A member that
comes to lead runs the load and prints one JSON object; all end when their input closes.
"""

import json
import statistics
import sys
import time

import pynng
from twisted.internet import reactor, stdio
from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater

from hemlockdock_control.consensus import Replicator
from hemlockdock_core.settings import load_settings

COMMAND = b"x" * 200
WARM_UP_COMMITS = 200
LATENCY_COMMITS = 1_000
CALLERS = 64
THROUGHPUT_S = 3.0


class CountingMachine:
    """Count commands."""

    def __init__(self):
        self.count = 0

    def apply(self, index, data):
        """Count one command."""
        self.count += 1
        return self.count

    def snapshot(self):
        """Return the count as bytes."""
        return b"%d" % self.count

    def restore(self, index, data):
        """Take the count."""
        self.count = int(data)


class EndWithInput(Protocol):
    """Stop the reactor when the input closes."""

    def connectionLost(self, reason):
        """Stop the reactor."""
        if reactor.running:
            reactor.stop()


@inlineCallbacks
def measure_latency(replicator, commits):
    """Commit one command after another.

    Parameters
    ----------
    replicator : Replicator
    commits : int

    Returns
    -------
    Deferred
        Fires with the times in seconds as a list.
    """
    times = []
    for _ in range(commits):
        started = time.perf_counter()
        yield replicator.propose(COMMAND)
        times.append(time.perf_counter() - started)
    return times


@inlineCallbacks
def measure_throughput(replicator):
    """Commit with many callers at once.

    Parameters
    ----------
    replicator : Replicator

    Returns
    -------
    Deferred
        Fires with commits a second.
    """
    started = time.perf_counter()
    ends = started + THROUGHPUT_S

    @inlineCallbacks
    def call():
        commits = 0
        while time.perf_counter() < ends:
            yield replicator.propose(COMMAND)
            commits += 1
        return commits

    counts = yield gatherResults([call() for _ in range(CALLERS)])
    return sum(counts) / (time.perf_counter() - started)


@inlineCallbacks
def run_load(replicator):
    """Run the load and print what was measured.

    Parameters
    ----------
    replicator : Replicator
    """
    yield deferLater(reactor, 0.5, lambda: None)
    yield measure_latency(replicator, WARM_UP_COMMITS)
    times = yield measure_latency(replicator, LATENCY_COMMITS)
    rate = yield measure_throughput(replicator)
    times.sort()
    found = {
        "median_s": statistics.median(times),
        "p99_s": times[int(len(times) * 0.99)],
        "commits_per_s": rate,
    }
    print(json.dumps(found), flush=True)


def run_member(path):
    """Run a member until the input closes.

    Parameters
    ----------
    path : str
    """
    replicator = Replicator(reactor, load_settings(path), CountingMachine())

    def lead(leads):
        if leads:
            run_load(replicator).addErrback(lambda failure: failure.printTraceback())

    replicator.on_leadership(lead)
    reactor.callWhenRunning(replicator.start)
    stdio.StandardIO(EndWithInput())
    reactor.run()


def run_echo(address):
    """Send back each frame until the other side closes.

    Parameters
    ----------
    address : str
    """
    with pynng.Rep0(listen=address) as socket:
        print("ready", flush=True)
        while True:
            frame = socket.recv()
            if frame == b"end":
                return
            socket.send(frame)


if __name__ == "__main__":
    if sys.argv[1] == "echo":
        run_echo(sys.argv[2])
    else:
        run_member(sys.argv[2])
