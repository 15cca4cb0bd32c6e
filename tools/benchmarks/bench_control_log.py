"""Measure durable commits by three members, each in a process of its own, on loopback."""

import json
import os
import selectors
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack, closing
from pathlib import Path

import pynng

from tools.benchmarks.figure import Figure

VIRTUAL_TIME = False
MEMBER_IDS = ("a", "b", "c")
FRAME = b"x" * 200
ROUNDS = 1_000
LATENCY_RATIO_BOUND = 4.0
COMMITS_PER_S_BOUND = 1_000.0
SEED = 0


def free_port():
    """Return a port of loopback that is free."""
    with closing(socket.socket()) as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def start(stack, *arguments):
    """Start a process that ends with the stack.

    Parameters
    ----------
    stack : contextlib.ExitStack
    *arguments : str

    Returns
    -------
    subprocess.Popen
    """
    script = str(Path(__file__).with_name("control_member.py"))
    process = subprocess.Popen(
        [sys.executable, script, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    stack.callback(process.wait)
    stack.callback(process.stdin.close)
    return process


def sync_median_s(folder):
    """Return the median time of writing and syncing 200 bytes.

    Parameters
    ----------
    folder : str

    Returns
    -------
    float
    """
    descriptor = os.open(Path(folder) / "probe", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    times = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        os.write(descriptor, FRAME)
        os.fdatasync(descriptor)
        times.append(time.perf_counter() - started)
    os.close(descriptor)
    return statistics.median(times)


def round_trip_median_s():
    """Return the median time of a blocking request and reply with another process."""
    address = f"tcp://127.0.0.1:{free_port()}"
    times = []
    with ExitStack() as stack:
        echo = start(stack, "echo", address)
        echo.stdout.readline()
        with pynng.Req0(dial=address, block_on_dial=True) as requests:
            for _ in range(ROUNDS):
                started = time.perf_counter()
                requests.send(FRAME)
                requests.recv()
                times.append(time.perf_counter() - started)
            requests.send(b"end")
        echo.wait()
    return statistics.median(times)


def run_members(folder):
    """Run three members and return what their leader measured.

    Parameters
    ----------
    folder : str

    Returns
    -------
    dict of str to float
    """
    addresses = [f"{m}@tcp://127.0.0.1:1@tcp://127.0.0.1:{free_port()}" for m in MEMBER_IDS]
    with ExitStack() as stack:
        processes = []
        for member_id in MEMBER_IDS:
            data = Path(folder) / member_id
            data.mkdir()
            path = Path(folder) / f"{member_id}.ini"
            path.write_text(
                f"[process]\nnode_id = {member_id}\nroles = control\nhost = {member_id}\n"
                f"failure_domain = d\ndata_folder = {data}\n"
                f"[control]\nmembers = {', '.join(addresses)}\n"
            )
            processes.append(start(stack, "member", str(path)))
        return json.loads(first_line(processes))


def first_line(processes):
    """Return the first line that any of the processes prints.

    Parameters
    ----------
    processes : list of subprocess.Popen

    Returns
    -------
    str
    """
    with selectors.DefaultSelector() as selector:
        for process in processes:
            selector.register(process.stdout, selectors.EVENT_READ)
        while True:
            for key, _ in selector.select():
                line = key.fileobj.readline()
                if line:
                    return line
                selector.unregister(key.fileobj)


def measure():
    """Yield the figures of the replicated log.

    Yields
    ------
    Figure
    """
    with tempfile.TemporaryDirectory() as folder:
        base_s = sync_median_s(folder) + round_trip_median_s()
        found = run_members(folder)
    yield Figure(
        "control.commit_latency_ratio",
        found["median_s"] * 1_000,
        "ms",
        "one fdatasync and one pynng round trip",
        base_s * 1_000,
        found["median_s"] / base_s,
        LATENCY_RATIO_BOUND,
        "lower",
        SEED,
    )
    yield Figure(
        "control.commits_per_s",
        found["commits_per_s"],
        "1/s",
        "",
        None,
        None,
        COMMITS_PER_S_BOUND,
        "higher",
        SEED,
    )


if __name__ == "__main__":
    for figure in measure():
        print(figure.line())
