"""Measure how soon commits resume after the leader is lost, in real processes."""

import signal
import tempfile
from pathlib import Path

from benchmarks.figure import Figure
from benchmarks.processes import Processes
from benchmarks.sized_manifest import sized_manifest

BOUND_S = 3.0
MEMBERS = 3
KILLS = 3
PAUSE_LIMIT_S = 20.0


def submit_anywhere(processes, number, skip):
    """Submit a manifest to the members in turn and tell whether it was accepted."""
    body = sized_manifest(number, 1, 1)
    for member_id in list(processes.process_by_id):
        if member_id == skip:
            continue
        if processes.call(member_id, "POST", "/v1/manifest?wait_ms=0", body):
            return True
    return False


def resume_after(processes, number, how):
    """Lose the leader in one way and return the seconds until a manifest is accepted."""
    leader = processes.leader()
    processes.send_signal(leader, how)
    took_s = processes.wait(lambda: submit_anywhere(processes, number, leader), PAUSE_LIMIT_S)
    if how == signal.SIGSTOP:
        processes.send_signal(leader, signal.SIGCONT)
    else:
        processes.start_member(leader, processes.admin_port_by_id[leader])
    processes.wait(lambda: latest_everywhere(processes, number))
    return took_s


def latest_everywhere(processes, number):
    """Tell whether every member shows the manifest that was accepted last."""
    for member_id in processes.process_by_id:
        status = processes.call(member_id, "GET", "/v1/status")
        if not status or not status["manifest"] or status["manifest"]["number"] != number:
            return False
    return True


def measure():
    """Yield the longest time over several kills and pauses of the leader."""
    with tempfile.TemporaryDirectory(prefix="hemlockdock-") as folder:
        processes = Processes(Path(folder), MEMBERS)
        try:
            processes.start_members()
            processes.wait(lambda: submit_anywhere(processes, 1, ""))
            ways = [signal.SIGKILL, signal.SIGSTOP] * KILLS
            taken = [resume_after(processes, index + 2, how) for index, how in enumerate(ways)]
        finally:
            processes.stop()
    yield Figure("control.failover_s", max(taken), "s", "", None, None, BOUND_S, "lower", 0)
