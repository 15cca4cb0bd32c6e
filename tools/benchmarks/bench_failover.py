"""Measure the time without commits after the leader is killed or paused, in real processes."""

import signal
import tempfile
from pathlib import Path

from benchmarks.figure import Figure
from benchmarks.processes import Processes
from benchmarks.sized_manifest import sized_manifest

BOUND_S = 3.0
MEMBERS = 3
KILLS = 3
FAILOVER_LIMIT_S = 20.0


def submit_to_any_member(processes, number, skipped_member):
    """Submit a manifest to each member in turn, and return whether one accepted it."""
    body = sized_manifest(number, 1, 1)
    for member_id in list(processes.process_by_id):
        if member_id == skipped_member:
            continue
        if processes.call(member_id, "POST", "/v1/manifest?wait_ms=0", body):
            return True
    return False


def time_failover(processes, number, signal_number):
    """Signal the leader and return the time in seconds until another member accepts a manifest."""
    leader = processes.leader()
    processes.send_signal(leader, signal_number)
    took_s = processes.wait(
        lambda: submit_to_any_member(processes, number, leader), FAILOVER_LIMIT_S
    )
    if signal_number == signal.SIGSTOP:
        processes.send_signal(leader, signal.SIGCONT)
    else:
        processes.start_member(leader, processes.admin_port_by_id[leader])
    processes.wait(lambda: all_members_show(processes, number))
    return took_s


def all_members_show(processes, number):
    """Return whether every member shows the manifest with this number."""
    for member_id in processes.process_by_id:
        status = processes.call(member_id, "GET", "/v1/status")
        if not status or not status["manifest"] or status["manifest"]["number"] != number:
            return False
    return True


def measure():
    """Yield the longest failover time over several kills and pauses of the leader."""
    with tempfile.TemporaryDirectory(prefix="hemlockdock-") as folder:
        processes = Processes(Path(folder), MEMBERS)
        try:
            processes.start_members()
            processes.wait(lambda: submit_to_any_member(processes, 1, ""))
            signals = [signal.SIGKILL, signal.SIGSTOP] * KILLS
            failover_times_s = [
                time_failover(processes, index + 2, signal_number)
                for index, signal_number in enumerate(signals)
            ]
        finally:
            processes.stop()
    yield Figure(
        "control.failover_s", max(failover_times_s), "s", "", None, None, BOUND_S, "lower", 0
    )
