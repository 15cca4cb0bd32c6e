"""Measure the cost of connected nodes at a control member in a separate process."""

import tempfile
from pathlib import Path

import psutil
from benchmarks.processes import Processes
from benchmarks.sized_manifest import sized_manifest
from twisted.internet.defer import inlineCallbacks
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.task import deferLater

from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import NODE_CODEC, NodeInfo
from hemlockdock_core.node import ControlLink
from hemlockdock_core.settings import load_settings
from slopes.slope import Slope

SIZES = (40, 120, 240)
MEASUREMENT_S = 8.0
SETTLE_S = 3.0
MODELS = 20
ADAPTERS = 200
HEARTBEATS_PER_S = 2
MICROSECONDS_PER_SECOND = 1_000_000


class IdleNodesRun:
    """Connects idle nodes to one control member and measures its CPU time and memory.

    Parameters
    ----------
    processes : Processes
    settings : Settings
        Of any node of the cluster.
    count : int

    Attributes
    ----------
    cpu_utilization : float
        CPU seconds per second of the member, while nothing changes.
    resident_bytes : int
    """

    def __init__(self, processes, settings, count):
        self._processes = processes
        self._settings = settings
        self._count = count
        self._reactor = EPollReactor()
        self._nodes = []
        self._failures = []
        self.cpu_utilization = 0.0
        self.resident_bytes = 0

    def run(self):
        """Run the reactor until both values are measured."""
        self._reactor.callWhenRunning(self._start)
        self._reactor.run(installSignalHandlers=False)
        for failure in self._failures:
            failure.raiseException()

    def _start(self):
        work = self._measure()
        work.addErrback(self._failures.append)
        work.addBoth(lambda _: self._close())
        work.addBoth(lambda _: self._reactor.stop())

    @inlineCallbacks
    def _measure(self):
        for index in range(self._count):
            self._connect_node(f"entry-{index}")
        while not all(link.table.manifest for _, link in self._nodes):
            yield deferLater(self._reactor, 0.05)
        yield deferLater(self._reactor, SETTLE_S)
        process = psutil.Process(self._processes.process_by_id["control-1"].pid)
        before = sum(process.cpu_times()[:2])
        yield deferLater(self._reactor, MEASUREMENT_S)
        self.cpu_utilization = (sum(process.cpu_times()[:2]) - before) / MEASUREMENT_S
        self.resident_bytes = process.memory_info().rss

    def _connect_node(self, node_id):
        links = []
        transport = MessageTransport(
            self._reactor,
            node_id,
            1,
            NODE_CODEC,
            "tcp://127.0.0.1:0",
            lambda frame: links[0].handle(frame),
        )
        info = NodeInfo(node_id, "entry", f"host-{node_id}", "domain-1", transport.address)
        links.append(ControlLink(self._reactor, self._settings, transport, info))
        links[0].start()
        self._nodes.append((transport, links[0]))

    def _close(self):
        for transport, link in self._nodes:
            link.stop()
            transport.close()


def measure_size(count):
    """Return (CPU utilization, resident bytes) of a member that serves ``count`` nodes."""
    with tempfile.TemporaryDirectory(prefix="hemlockdock-") as folder:
        processes = Processes(Path(folder), 1)
        try:
            processes.start_members()
            body = sized_manifest(1, MODELS, ADAPTERS)
            processes.wait(lambda: processes.call("control-1", "POST", "/v1/manifest", body))
            settings = load_settings(Path(folder) / "control-1.ini")
            run = IdleNodesRun(processes, settings, count)
            run.run()
        finally:
            processes.stop()
    return run.cpu_utilization, run.resident_bytes


def measure():
    """Yield the slopes of a member's CPU time per heartbeat and memory per node."""
    figures = [measure_size(count) for count in SIZES]
    heartbeats = [count * HEARTBEATS_PER_S for count in SIZES]
    cpu_us_per_s = [figure[0] * MICROSECONDS_PER_SECOND for figure in figures]
    name = "control member that leads, nodes idle"
    yield Slope.fit(name, "us of processor per heartbeat", heartbeats, cpu_us_per_s)
    yield Slope.fit(name, "resident bytes per node", SIZES, [figure[1] for figure in figures])
