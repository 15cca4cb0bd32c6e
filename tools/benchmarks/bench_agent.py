"""Measure the throughput of an agent per core, and the latency that it adds to a call."""

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil
import treq
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from benchmarks.agent_stubs import StubControl, StubEntry
from benchmarks.figure import Figure

SEED = 1
STREAMS = 200
TOKENS = 200
WARM_UP_CALLS = 400
# The required peak of 1.7 million tokens per second, divided by the 320 nodes.
TOKENS_PER_CORE_BOUND = 5_300
LATENCY_RATIO_BOUND = 2.5
POLL_S = 0.01
START_LIMIT_S = 20
FOLDER = Path(__file__).parent


def measure():
    """Yield the figures of the agent.

    Yields
    ------
    Figure
    """
    figures = []
    failures = []

    def record_failure(failure):
        failures.append(failure)
        reactor.stop()

    def start():
        _measure(figures).addCallbacks(lambda _: reactor.stop(), record_failure)

    reactor.callWhenRunning(start)
    reactor.run()
    for failure in failures:
        failure.raiseException()
    yield from figures


@inlineCallbacks
def _measure(figures):
    control = StubControl(reactor)
    entry = StubEntry(reactor)
    with tempfile.TemporaryDirectory() as folder:
        engine = _start_child("engine_process", folder, [])
        try:
            engine_url = yield _wait_for_text(Path(folder) / "engine_url")
            agent = _start_child("agent_process", folder, [engine_url, control.address])
            try:
                yield control.wait_until_loaded()
                yield _measure_tokens(figures, control, entry, agent)
                yield _measure_latency(figures, control, entry, engine_url)
            finally:
                agent.kill()
                agent.wait()
        finally:
            engine.kill()
            engine.wait()
    control.close()
    entry.close()


@inlineCallbacks
def _measure_tokens(figures, control, entry, agent):
    process = psutil.Process(agent.pid)
    yield entry.run(control.agent_address, "warm", STREAMS, TOKENS // 4, True)
    before = process.cpu_times()
    started_s = time.monotonic()
    frames = yield entry.run(control.agent_address, "tokens", STREAMS, TOKENS, True)
    wall_s = time.monotonic() - started_s
    after = process.cpu_times()
    spent_s = after.user + after.system - before.user - before.system
    tokens = STREAMS * TOKENS
    figures.append(
        Figure(
            "agent.tokens_per_core",
            round(tokens / spent_s, 1),
            "tokens per processor second",
            "",
            None,
            None,
            TOKENS_PER_CORE_BOUND,
            "higher",
            SEED,
        )
    )
    print(
        f"agent.tokens_per_core: {tokens} tokens in {frames} chunks over {wall_s:.2f} s,"
        f" {spent_s:.2f} s of processor time",
        file=sys.stderr,
    )


@inlineCallbacks
def _measure_latency(figures, control, entry, engine_url):
    direct_ms = []
    through_ms = []
    for index in range(WARM_UP_CALLS):
        started_s = time.monotonic()
        response = yield treq.post(
            f"{engine_url}/v1/chat/completions",
            json.dumps({"model": "m", "max_tokens": 0}).encode(),
            headers={"x-replica-id": "r1", "x-request-id": f"direct-{index}"},
        )
        yield treq.content(response)
        direct_ms.append((time.monotonic() - started_s) * 1_000)
        started_s = time.monotonic()
        yield entry.run(control.agent_address, f"call-{index}", 1, 0, False)
        through_ms.append((time.monotonic() - started_s) * 1_000)
    direct = statistics.median(direct_ms)
    through = statistics.median(through_ms)
    figures.append(
        Figure(
            "agent.latency_ratio",
            round(through, 3),
            "ms",
            "the same call straight to the stand-in engine",
            round(direct, 3),
            round(through / direct, 3),
            LATENCY_RATIO_BOUND,
            "lower",
            SEED,
        )
    )


def _start_child(name, folder, arguments):
    root = FOLDER.parent.parent
    packages = [str(path) for path in (root / "packages").iterdir()]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join([*packages, str(FOLDER.parent)])}
    command = [sys.executable, "-m", f"benchmarks.{name}", folder, *arguments]
    return subprocess.Popen(command, env=environment)


@inlineCallbacks
def _wait_for_text(path):
    give_up_at_s = time.monotonic() + START_LIMIT_S
    while not path.exists():
        if time.monotonic() > give_up_at_s:
            raise TimeoutError(f"{path.name} was not written in time")
        yield deferLater(reactor, POLL_S, lambda: None)
    return path.read_text()
