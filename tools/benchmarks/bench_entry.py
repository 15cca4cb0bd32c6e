"""Measure the latency that an entry adds to a call, and the tokens it relays per core."""

import json
import os
import subprocess
import sys
from pathlib import Path

from benchmarks.figure import Figure

TOOLS = Path(__file__).resolve().parent.parent
LATENCY_BOUND = 2.5
TOKENS_BOUND = 5_300.0
TIME_LIMIT_S = 120
SEED = 0


def run_module(name):
    """Run a module in a subprocess and return the JSON object in the last line it prints."""
    path = os.pathsep.join([str(TOOLS), os.environ.get("PYTHONPATH", "")])
    done = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", name],
        env={**os.environ, "PYTHONPATH": path},
        stdout=subprocess.PIPE,
        text=True,
        check=True,
        timeout=TIME_LIMIT_S,
    )
    return json.loads(done.stdout.strip().splitlines()[-1])


def measure():
    """Yield the latency and throughput figures of an entry."""
    latency = run_module("benchmarks.entry_latency")
    through_s, straight_s = latency["through_s"], latency["straight_s"]
    yield Figure(
        "entry.latency_ratio",
        through_s,
        "s",
        "straight to the engine",
        straight_s,
        through_s / straight_s,
        LATENCY_BOUND,
        "lower",
        SEED,
    )
    relay = run_module("benchmarks.stream_relay")
    tokens_per_core_s = relay["tokens"] / relay["core_s"]
    yield Figure(
        "stream.tokens_per_core",
        tokens_per_core_s,
        "tokens/s",
        "",
        None,
        None,
        TOKENS_BOUND,
        "higher",
        SEED,
    )
