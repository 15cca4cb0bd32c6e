"""Measure memory and processor time of an idle entry and agent that know all adapters."""

import tempfile
import time
from pathlib import Path

import psutil

from benchmarks.figure import Figure
from benchmarks.processes import Processes
from benchmarks.sized_manifest import sized_manifest

BOUND_MB = 128.0
BOUND_CORE_SHARE = 0.033
IDLE_S = 8.0
MODELS = 110
ADAPTERS = 11_000
SETTLING_S = 5.0
BYTES_PER_MB = 1_000_000
NODES = ("entry-1", "agent-1")
UNUSED_URL = "http://127.0.0.1:9"


def measure():
    """Yield the larger resident size and the larger core share of an entry and an agent."""
    with tempfile.TemporaryDirectory(prefix="hemlockdock-") as folder:
        processes = Processes(Path(folder), 1)
        try:
            processes.start_members()
            processes.start_node("entry-1", "entry")
            processes.start_node("agent-1", "agent", {"agent": {"engine_url": UNUSED_URL}})
            body = sized_manifest(1, MODELS, ADAPTERS)
            processes.wait(lambda: processes.call("control-1", "POST", "/v1/manifest", body))
            processes.wait(lambda: manifest_in_force(processes))
            time.sleep(SETTLING_S)
            sizes = [resident_mb(processes, node_id) for node_id in NODES]
            shares = idle_shares(processes)
        finally:
            processes.stop()
    yield Figure("node.resident_mb", max(sizes), "MB", "", None, None, BOUND_MB, "lower", 0)
    yield Figure(
        "node.idle_core_share", max(shares), "", "", None, None, BOUND_CORE_SHARE, "lower", 0
    )


def manifest_in_force(processes):
    """Return whether both nodes have received the manifest."""
    status = processes.call("control-1", "GET", "/v1/status")
    if not status or not status["manifest"]:
        return False
    return status["manifest"]["in_force"]["reached"] == 2


def resident_mb(processes, node_id):
    """Return the resident size of a node's process in MB."""
    process = psutil.Process(processes.process_by_id[node_id].pid)
    return process.memory_info().rss / BYTES_PER_MB


def idle_shares(processes):
    """Return the fraction of a core that each idle node uses."""
    watched = [psutil.Process(processes.process_by_id[node_id].pid) for node_id in NODES]
    before = [sum(process.cpu_times()[:2]) for process in watched]
    time.sleep(IDLE_S)
    after = [sum(process.cpu_times()[:2]) for process in watched]
    return [(end - start) / IDLE_S for start, end in zip(before, after, strict=True)]
