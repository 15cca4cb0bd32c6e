"""Two of five core machines are lost for good at once; later two others lose their disks."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from fleet_2 import PORTS, Fleet, call, config, put_config, route, run_case, service  # noqa: E402
from fleet_2 import wait_until  # noqa: E402
from standins_2 import Platform, Replica  # noqa: E402

SUCCESSOR_AFTER_S = 1.0
# catch_up_s (6) of the successors, and a while more.
CALM_S = 14.0
BACK_AFTER_S = 1.0
RECOVER_S = 15.0
READ_BACK_S = 10.0
BOUNDS = {"stable_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 6, "recover_s": 15}


def desired_state(version):
    return config(version, [route("lookup", "/lookup/", "app")], [service("app")])


async def read(ip):
    """Return the version that a machine reads back, or None."""
    answer = await call(f"{ip}:{PORTS['control']}", "GET", "/config/get", timeout_s=1.0)
    if answer is None or answer[0] != 200:
        return None
    return json.loads(answer[2])["version"]


async def reads(ip, version):
    return await read(ip) == version


async def case(record, trouble):
    fleet = Fleet(record, cores=5, fronts=1, bounds=BOUNDS)
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
    await put_config(fleet, desired_state(1), 30)
    await asyncio.sleep(2.0)
    for ip in fleet.core_ips:
        await wait_until(f"{ip} reads version 1", lambda ip=ip: reads(ip, 1), 15)

    if trouble:
        for ip in fleet.core_ips[3:]:
            fleet.kill(ip)
            fleet.core_ips.remove(ip)
            record(f"{ip} is lost for good")
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        for number in (6, 7):
            ip = fleet.add_core(number)
            fleet.start(ip)
            record(f"{ip} starts in its place with an empty disk")
    await asyncio.sleep(CALM_S)
    await put_config(fleet, desired_state(2), 6)
    for ip in fleet.core_ips:
        await wait_until(f"{ip} reads version 2", lambda ip=ip: reads(ip, 2), 6)
    record(f"core machines that run, and read version 2: {fleet.core_ips}")

    if trouble:
        wiped = fleet.core_ips[1:3]
        for ip in wiped:
            fleet.kill(ip)
            fleet.wipe(ip)
            record(f"{ip} is killed and loses its disk")
        await asyncio.sleep(BACK_AFTER_S)
        for ip in wiped:
            fleet.start(ip)
            record(f"{ip} is back with an empty disk")
        await asyncio.sleep(RECOVER_S)
    return not await read_back(fleet, record, 2)


async def read_back(fleet, record, acknowledged):
    """Return whether some machine reads back the newest acknowledged version."""
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
