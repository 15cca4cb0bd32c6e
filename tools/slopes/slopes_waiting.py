"""Measure the cost of a waiting request at an entry in a separate process."""

import http.client
import json
import tempfile
import time
from pathlib import Path

import psutil
from benchmarks.processes import Processes
from benchmarks.sized_manifest import sized_manifest

from hemlockdock_cli.demo.ports import LOOPBACK, free_ports
from slopes.slope import Slope

SIZES = (100, 300, 600)
MEASUREMENT_S = 4.0
BODY_BYTES = 1_000
MICROSECONDS_PER_SECOND = 1_000_000


def open_waiting_request(port):
    """Request a model that no endpoint can load, and return the open connection."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=60)
    text = {"model": "model-000", "messages": [], "padding": "x" * BODY_BYTES}
    headers = {"Content-Type": "application/json", "X-Deadline-Ms": "60000"}
    connection.request("POST", "/v1/chat/completions", json.dumps(text), headers)
    return connection


def is_ready(port):
    """Return whether the entry is ready."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=5)
    try:
        connection.request("GET", "/readyz")
        return connection.getresponse().status == http.client.OK
    except OSError:
        return False
    finally:
        connection.close()


def measure_size(count):
    """Return growth in resident bytes and CPU utilization for ``count`` waiting requests."""
    with tempfile.TemporaryDirectory(prefix="hemlockdock-") as folder:
        processes = Processes(Path(folder), 1)
        port = free_ports(1)[0]
        connections = []
        try:
            processes.start_members()
            body = sized_manifest(1, 4, 4)
            processes.wait(lambda: processes.call("control-1", "POST", "/v1/manifest", body))
            sections = {
                "listen": {"http": f"{LOOPBACK}:{port}"},
                "entry": {"queue_limit": 10_000, "caller_share": 1.0},
            }
            processes.start_node("entry-1", "entry", sections)
            processes.wait(lambda: is_ready(port))
            process = psutil.Process(processes.process_by_id["entry-1"].pid)
            before = process.memory_info().rss
            connections += [open_waiting_request(port) for _ in range(count)]
            time.sleep(1.0)
            cpu_before_s = sum(process.cpu_times()[:2])
            time.sleep(MEASUREMENT_S)
            cpu_utilization = (sum(process.cpu_times()[:2]) - cpu_before_s) / MEASUREMENT_S
            return process.memory_info().rss - before, cpu_utilization
        finally:
            for connection in connections:
                connection.close()
            processes.stop()


def measure():
    """Yield the slopes of memory and CPU time over the number of waiting requests."""
    figures = [measure_size(count) for count in SIZES]
    name = "waiting request at an entry, with its connection"
    yield Slope.fit(name, "resident bytes per request", SIZES, [item[0] for item in figures])
    cpu_us_per_s = [item[1] * MICROSECONDS_PER_SECOND for item in figures]
    yield Slope.fit(name, "us of processor per request and second", SIZES, cpu_us_per_s)
