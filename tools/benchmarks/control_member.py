"""Run one control member or one echo server for benchmarks, in a process of its own.

Usage: ``control_member.py member SETTINGS ECHO`` or ``control_member.py echo ADDRESS``. A member
that becomes leader runs the load and prints one JSON object. Each process exits when its
standard input is closed.
"""

import contextlib
import json
import os
import statistics
import sys
import threading
import time
from pathlib import Path

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


class CountingStateMachine:
    """State machine that counts commands."""

    def __init__(self):
        self.count = 0

    def apply(self, index, data):
        """Count one command and return the new count."""
        self.count += 1
        return self.count

    def snapshot(self):
        """Return the count as bytes."""
        return b"%d" % self.count

    def restore(self, index, data):
        """Restore the count from a snapshot."""
        self.count = int(data)


class StopOnInputClose(Protocol):
    """Stop the reactor when standard input is closed."""

    def connectionLost(self, reason):
        """Stop the reactor if it still runs."""
        if reactor.running:
            reactor.stop()


class Baseline:
    """Baseline of a commit: one sync to disk and one network round trip.

    Parameters
    ----------
    folder : str
    address : str
        Address of an echo server.
    """

    def __init__(self, folder, address):
        path = Path(folder) / "probe"
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self._socket = pynng.Req0(dial=address, block_on_dial=True)

    def time_sync(self):
        """Return the time in seconds to write and sync a command."""
        started = time.perf_counter()
        os.write(self._descriptor, COMMAND)
        os.fdatasync(self._descriptor)
        return time.perf_counter() - started

    def time_round_trip(self):
        """Return the time in seconds of a blocking request and its reply."""
        started = time.perf_counter()
        self._socket.send(COMMAND)
        self._socket.recv()
        return time.perf_counter() - started


@inlineCallbacks
def measure_latency(replicator, baseline, rounds):
    """Alternate commits with the baseline, so that both run under the same load of the host.

    Parameters
    ----------
    replicator : Replicator
    baseline : Baseline
    rounds : int

    Returns
    -------
    Deferred
        Fires with three lists of times in seconds: commits, syncs, round trips.
    """
    commits = []
    syncs = []
    round_trips = []
    for _ in range(rounds):
        syncs.append(baseline.time_sync())
        round_trips.append(baseline.time_round_trip())
        started = time.perf_counter()
        yield replicator.propose(COMMAND)
        commits.append(time.perf_counter() - started)
    return commits, syncs, round_trips


@inlineCallbacks
def measure_throughput(replicator):
    """Measure commits by many concurrent callers.

    Parameters
    ----------
    replicator : Replicator

    Returns
    -------
    Deferred
        Fires with the number of commits per second.
    """
    started = time.perf_counter()
    ends_at = started + THROUGHPUT_S

    @inlineCallbacks
    def call():
        commits = 0
        while time.perf_counter() < ends_at:
            yield replicator.propose(COMMAND)
            commits += 1
        return commits

    counts = yield gatherResults([call() for _ in range(CALLERS)])
    return sum(counts) / (time.perf_counter() - started)


@inlineCallbacks
def run_load(replicator, baseline):
    """Run the load and print the measurements.

    Parameters
    ----------
    replicator : Replicator
    baseline : Baseline
    """
    yield deferLater(reactor, 0.5, lambda: None)
    yield measure_latency(replicator, baseline, WARM_UP_COMMITS)
    commits, syncs, round_trips = yield measure_latency(replicator, baseline, LATENCY_COMMITS)
    rate = yield measure_throughput(replicator)
    measured = {
        "commit_s": statistics.median(commits),
        "sync_s": statistics.median(syncs),
        "round_trip_s": statistics.median(round_trips),
        "commits_per_s": rate,
    }
    print(json.dumps(measured), flush=True)


def run_member(path, echo_address):
    """Run a member until standard input is closed.

    Parameters
    ----------
    path : str
    echo_address : str
    """
    settings = load_settings(path)
    replicator = Replicator(reactor, settings, CountingStateMachine())

    def on_leadership_change(leads):
        if leads:
            baseline = Baseline(settings.process.data_folder, echo_address)
            run_load(replicator, baseline).addErrback(lambda failure: failure.printTraceback())

    replicator.on_leadership(on_leadership_change)
    replicator.start()
    stdio.StandardIO(StopOnInputClose())
    reactor.run()


def run_echo(address):
    """Run an echo server until standard input is closed.

    Parameters
    ----------
    address : str
    """
    with pynng.Rep0(listen=address) as socket:
        print("ready", flush=True)
        threading.Thread(target=echo_frames, args=(socket,), daemon=True).start()
        sys.stdin.read()


def echo_frames(socket):
    """Send back each frame until the socket is closed.

    Parameters
    ----------
    socket : pynng.Rep0
    """
    with contextlib.suppress(pynng.Closed):
        while True:
            socket.send(socket.recv())


if __name__ == "__main__":
    if sys.argv[1] == "echo":
        run_echo(sys.argv[2])
    else:
        run_member(sys.argv[2], sys.argv[3])
