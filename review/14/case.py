"""Settings files change, and SIGHUP says so, while processes start."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet_3 import Fleet, call, config, route, run_case  # noqa: E402

ROUNDS = 3
# The settings change this long after the start of a process.
CHANGE_AFTER_S = 0.15
RESTART_DELAY_S = 0.5
CATCH_UP_S = 6.0
GRACE_S = 8.0


def case(record, trouble):
    """Return whether on half of the core processes ended by themselves three times."""
    fleet = Fleet(record)
    try:
        fleet.start()
        fleet.put_config(config(1, [route("read", "/read/", "idempotent", "app")]))
        time.sleep(4.0)
        members = fleet.controls[:2]
        ends = dict.fromkeys(members, 0)
        for number in range(ROUNDS):
            for ip in members:
                ends[ip] += restart_as_planned(fleet, ip, number, trouble, record)
        for ip, count in ends.items():
            record(f"control {ip}: its process ended by itself {count} times")
        return sum(count >= ROUNDS for count in ends.values()) * 2 >= len(fleet.controls)
    finally:
        fleet.stop_all()


def restart_as_planned(fleet, ip, number, trouble, record):
    """Stop and start one member; its settings change as it starts.

    Returns
    -------
    int
        How often its new process ended by itself.
    """
    process = fleet.process_by_ip[ip]
    process.send_signal(signal.SIGTERM)
    process.wait(timeout=GRACE_S)
    record(f"round {number}: control {ip} is stopped by SIGTERM")
    process = fleet.start_program(ip)
    ends = 0
    if trouble:
        time.sleep(CHANGE_AFTER_S)
        fleet.write_settings(ip, first=False, turned=number % 2 == 0)
        process.send_signal(signal.SIGHUP)
        record(f"control {ip}: the settings change, SIGHUP {CHANGE_AFTER_S} s after the start")
        time.sleep(RESTART_DELAY_S)
        if process.poll() is not None:
            ends += 1
            record(f"control {ip}: its process has ended with status {process.returncode}")
            fleet.start_program(ip)
    fleet.wait_until(f"control {ip} answers", lambda: is_serving(fleet, ip), 10.0)
    # Others may be lost only later than catch_up_s after this one is back.
    time.sleep(CATCH_UP_S)
    return ends


def is_serving(fleet, ip):
    """Return whether a member answers a read."""
    try:
        return call(ip, fleet.control_port, "GET", "/config/get", timeout_s=1.0).status == 200
    except OSError:
        return False


if __name__ == "__main__":
    run_case(FOLDER, case)
