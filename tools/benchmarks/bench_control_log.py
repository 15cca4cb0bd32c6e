"""Measure durable commits of three control members, each in its own process, on loopback."""

import contextlib
import json
import random
import selectors
import socket
import subprocess
import sys
import tempfile
from contextlib import ExitStack, closing
from pathlib import Path

from benchmarks.figure import Figure

VIRTUAL_TIME = False
MEMBER_IDS = ("a", "b", "c")
LATENCY_RATIO_BOUND = 4.0
COMMITS_PER_S_BOUND = 1_000.0
SEED = 0
PORTS = range(20_000, 32_000)


def free_port():
    """Return a free loopback port below the range of ephemeral ports."""
    while True:
        port = random.choice(PORTS)
        with closing(socket.socket()) as listener, contextlib.suppress(OSError):
            listener.bind(("127.0.0.1", port))
            return port


def start_process(stack, *arguments):
    """Start a process that is ended when the exit stack is closed.

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


def run_members(folder):
    """Run three members and return the measurements of their leader.

    Parameters
    ----------
    folder : str

    Returns
    -------
    dict of str to float
    """
    addresses = [f"{m}@tcp://127.0.0.1:1@tcp://127.0.0.1:{free_port()}" for m in MEMBER_IDS]
    echo_address = f"tcp://127.0.0.1:{free_port()}"
    with ExitStack() as stack:
        echo = start_process(stack, "echo", echo_address)
        echo.stdout.readline()
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
            processes.append(start_process(stack, "member", str(path), echo_address))
        return json.loads(first_line(processes))


def first_line(processes):
    """Return the first line that one of the processes prints.

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
                raise RuntimeError("a member exited before the leader printed its measurements")


def measure():
    """Yield the figures of the replicated log.

    Yields
    ------
    Figure
    """
    with tempfile.TemporaryDirectory() as folder:
        measured = run_members(folder)
    base_s = measured["sync_s"] + measured["round_trip_s"]
    yield Figure(
        "control.commit_latency_ratio",
        measured["commit_s"] * 1_000,
        "ms",
        "one fdatasync and one pynng round trip",
        base_s * 1_000,
        measured["commit_s"] / base_s,
        LATENCY_RATIO_BOUND,
        "lower",
        SEED,
    )
    yield Figure(
        "control.commits_per_s",
        measured["commits_per_s"],
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
