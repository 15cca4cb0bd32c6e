"""A core machine is replaced as planned; a second one is lost for good 1 s after the first left."""

import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from fleet_2 import PORTS, CannotRun, Fleet, call, config, put_config, route, run_case, service  # noqa: E402
from fleet_2 import wait_until  # noqa: E402
from standins_2 import Platform, Replica  # noqa: E402

CATCH_UP_S = 4.0
RECOVER_S = 12.0
# From the exit of the planned one to the loss of the other, and from that to its successor.
LOSS_AFTER_S = 1.0
SUCCESSOR_AFTER_S = 1.0
READ_BACK_S = 10.0


def desired_state(version):
    return config(version, [route("lookup", "/lookup/", "app")], [service("app")])


async def read(ip):
    """Return the version that a machine reads back, or None."""
    answer = await call(f"{ip}:{PORTS['control']}", "GET", "/config/get", timeout_s=1.0)
    if answer is None or answer[0] != 200:
        return None
    return json.loads(answer[2])["version"]


async def send_once(ip, version):
    body = json.dumps(desired_state(version)).encode()
    headers = [("Content-Type", "application/json")]
    answer = await call(f"{ip}:{PORTS['control']}", "POST", "/config/put", body, headers, 1.0)
    return None if answer is None else answer[0]


async def case(record, trouble):
    fleet = Fleet(record, cores=3, fronts=1)
    try:
        return await play(fleet, record, trouble)
    finally:
        fleet.stop_all()


async def play(fleet, record, trouble):
    platform = Platform(fleet)
    replica = Replica(f"{fleet.prefix}.41", "app", 1, record)
    await replica.start()
    platform.add(replica)
    await platform.start()
    fleet.start_all()
    first, second, third = fleet.core_ips
    await put_config(fleet, desired_state(1), 30)

    # Planned: the new machine first, then SIGTERM to the old one, which never comes back.
    new = fleet.add_core(4)
    fleet.start(new)
    started_s = time.monotonic()
    record(f"{new} starts with an empty disk")
    await wait_until("the new machine reads version 1", lambda: has_version(new, 1), 10)
    await asyncio.sleep(max(0.0, started_s + CATCH_UP_S + 0.5 - time.monotonic()))
    record(f"{new} has had {time.monotonic() - started_s:.1f} s; SIGTERM to {third}")
    fleet.signal(third, signal.SIGTERM)
    await wait_until("the old machine stops", lambda: has_stopped(fleet, third), 9, 0.05)
    fleet.kill(third)
    fleet.core_ips.remove(third)
    stopped_s = time.monotonic()
    record(f"{third} has stopped by itself and is removed for good")
    await put_config(fleet, desired_state(2), 4)

    if trouble:
        await asyncio.sleep(max(0.0, stopped_s + LOSS_AFTER_S - time.monotonic()))
        fleet.kill(first)
        fleet.core_ips.remove(first)
        record(f"{first} is lost for good, {time.monotonic() - stopped_s:.1f} s after {third} left")
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        fleet.seeds = [f"{ip}:{PORTS['control']}" for ip in (second, new)]
        successor = fleet.add_core(5)
        fleet.start(successor)
        record(f"{successor} starts in its place with an empty disk")
        await asyncio.sleep(CATCH_UP_S + RECOVER_S)
    record(f"core machines that run: {fleet.core_ips}")

    acknowledged = await change(fleet, record, 3)
    return not await read_back(fleet, record, 3 if acknowledged else 2)


async def has_version(ip, version):
    return await read(ip) == version


async def has_stopped(fleet, ip):
    return fleet.process_by_ip[ip].poll() is not None


async def change(fleet, record, version):
    """Send a change as the operator does, for twice the time of an acknowledgement."""
    end_s = time.monotonic() + 2 * fleet.bounds["ack_timeout_ms"] / 1000
    while time.monotonic() < end_s:
        for ip in fleet.core_ips:
            status = await send_once(ip, version)
            record(f"version {version} sent to {ip}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(0.2)
    return False


async def read_back(fleet, record, acknowledged):
    """Return whether some machine reads back the newest acknowledged version, or a later one."""
    end_s = time.monotonic() + READ_BACK_S
    while time.monotonic() < end_s:
        for ip in fleet.core_ips:
            version = await read(ip)
            record(f"read back from {ip}: {version}")
            if version is not None and version >= acknowledged:
                return True
            await asyncio.sleep(0.2)
    return False


run_case(case, HERE)
