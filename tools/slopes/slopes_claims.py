"""Measure the CPU time per run-once claim at a leading control member in a separate process."""

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


class ClaimLoad:
    """Proposes claims over one link from several concurrent callers.

    Parameters
    ----------
    settings : Settings
        Of any node of the cluster.
    process : psutil.Process
        Process of the leader.

    Attributes
    ----------
    cpu_time_us : list of float
        CPU time of the leader for each size.
    """

    def __init__(self, settings, process):
        self._process = process
        self._reactor = EPollReactor()
        self._failures = []
        self._last_number = 0
        self.cpu_time_us = []
        self._transport = MessageTransport(
            self._reactor, "entry-1", 1, NODE_CODEC, "tcp://127.0.0.1:0", self._receive
        )
        info = NodeInfo("entry-1", "entry", "host-1", "domain-1", self._transport.address)
        self._link = ControlLink(self._reactor, settings, self._transport, info)

    def run(self):
        """Run the reactor until every size is measured."""
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
            claims_per_caller = size // CALLERS
            yield gatherResults([self._propose_claims(claims_per_caller) for _ in range(CALLERS)])
            used_s = sum(self._process.cpu_times()[:2]) - before
            self.cpu_time_us.append(used_s * MICROSECONDS_PER_SECOND)

    @inlineCallbacks
    def _propose_claims(self, count):
        for _ in range(count):
            self._last_number += 1
            key = f"{self._last_number:064x}"
            claim = ClaimRun(key, key, "entry-1", 1, f"r-{self._last_number}", "", RETENTION_S, 0)
            result = yield self._link.propose(claim, TIMEOUT_MS)
            if result.refusal is not None:
                raise RuntimeError(result.refusal.message)


def measure():
    """Yield the slope of the leader's CPU time over the number of claims."""
    with tempfile.TemporaryDirectory(prefix="hemlockdock-") as folder:
        processes = Processes(Path(folder), 1)
        try:
            processes.start_members()
            body = sized_manifest(1, 4, 4)
            processes.wait(lambda: processes.call("control-1", "POST", "/v1/manifest", body))
            settings = load_settings(Path(folder) / "control-1.ini")
            process = psutil.Process(processes.process_by_id["control-1"].pid)
            load = ClaimLoad(settings, process)
            load.run()
        finally:
            processes.stop()
    name = "run-once claim over a link, one member"
    yield Slope.fit(name, "us of processor per claim", SIZES, load.cpu_time_us)
