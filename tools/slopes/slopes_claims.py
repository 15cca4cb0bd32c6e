"""Measure what a run-once claim costs a control member that leads, as a process of its own."""

import tempfile
from pathlib import Path

import psutil
from benchmarks.processes import Processes
from benchmarks.sized_manifest import sized_manifest
from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.task import deferLater

from hemlockdock_core.commands import ClaimRun
from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import NODE_CODEC, NodeInfo
from hemlockdock_core.node import ControlLink
from hemlockdock_core.settings import load_settings
from slopes.slope import Slope

SIZES = (1_000, 3_000, 6_000)
CALLERS = 64
TIMEOUT_MS = 60_000
RETENTION_S = 172_800
MICROSECONDS_PER_SECOND = 1_000_000


class ClaimRunner:
    """Make claims over one link, from several callers at once.

    Parameters
    ----------
    settings : Settings
        Of any node of the cluster.
    process : psutil.Process
        The member that leads.

    Attributes
    ----------
    processor_us : list of float
        Of the member, for each size.
    """

    def __init__(self, settings, process):
        self._process = process
        self._reactor = EPollReactor()
        self._failures = []
        self._serial = 0
        self.processor_us = []
        self._transport = MessageTransport(
            self._reactor, "entry-1", 1, NODE_CODEC, "tcp://127.0.0.1:0", self._receive
        )
        info = NodeInfo("entry-1", "entry", "host-1", "domain-1", self._transport.address)
        self._link = ControlLink(self._reactor, settings, self._transport, info)

    def run(self):
        """Run until every size is measured."""
        self._reactor.callWhenRunning(self._start)
        self._reactor.run(installSignalHandlers=False)
        for failure in self._failures:
            failure.raiseException()

    def _receive(self, frame):
        self._link.handle(frame)

    def _start(self):
        self._link.start()
        work = self._measure()
        work.addErrback(self._failures.append)
        work.addBoth(lambda _: self._link.stop())
        work.addBoth(lambda _: self._transport.close())
        work.addBoth(lambda _: self._reactor.stop())

    @inlineCallbacks
    def _measure(self):
        while self._link.table.manifest is None:
            yield deferLater(self._reactor, 0.05)
        for size in SIZES:
            before = sum(self._process.cpu_times()[:2])
            share = size // CALLERS
            yield gatherResults([self._call(share) for _ in range(CALLERS)])
            used_s = sum(self._process.cpu_times()[:2]) - before
            self.processor_us.append(used_s * MICROSECONDS_PER_SECOND)

    @inlineCallbacks
    def _call(self, count):
        for _ in range(count):
            self._serial += 1
            key = f"{self._serial:064x}"
            claim = ClaimRun(key, key, "entry-1", 1, f"r-{self._serial}", "", RETENTION_S, 0)
            result = yield self._link.propose(claim, TIMEOUT_MS)
            if result.refusal is not None:
                raise RuntimeError(result.refusal.message)


def measure():
    """Yield the slope of a leader's processor time over claims."""
    with tempfile.TemporaryDirectory(prefix="hemlockdock-") as folder:
        processes = Processes(Path(folder), 1)
        try:
            processes.start_members()
            body = sized_manifest(1, 4, 4)
            processes.wait(lambda: processes.call("control-1", "POST", "/v1/manifest", body))
            settings = load_settings(Path(folder) / "control-1.ini")
            process = psutil.Process(processes.process_by_id["control-1"].pid)
            runner = ClaimRunner(settings, process)
            runner.run()
        finally:
            processes.stop()
    name = "run-once claim over a link, one member"
    yield Slope.fit(name, "us of processor per claim", SIZES, runner.processor_us)
