"""All processes are killed and started again after many changes of the desired state."""

import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

# The desired state grows by at most 350 routes at once, the dose of big_config in the site file.
GROWTHS = (350, 350, 150)
CHANGES = 150
DOWN_S = 0.6
RECOVER_S = 12.0
# The operator asks for the desired state for stable_window_ms at least.
CHECK_S = 3.0
PROBE_S = 0.1


def config_of(version, routes):
    """Return a desired state that leads every route to one of two services, by its version."""
    service = ("app", "other")[version % 2]
    listed = [standins.route("order", "/order/", "non_idempotent", "app")]
    for number in range(routes):
        listed.append(standins.route(f"r-{number:07x}", f"/p{number}/", "idempotent", service))
    return standins.desired_state(
        version, listed, [standins.service("app"), standins.service("other")]
    )


class Operator:
    """Send desired states to the members in turn until they are acknowledged, and read them."""

    def __init__(self, deployment, record):
        self._deployment = deployment
        self._record = record
        self._turn = 0
        self.acknowledged = b""

    def put(self, config):
        """Send a desired state until it is acknowledged."""
        body = json.dumps(config).encode()
        started_s = time.monotonic()
        while time.monotonic() - started_s < standins.WAIT_S:
            if self._call("POST", "/config/put", body)[0] == 200:
                self.acknowledged = body
                took_s = time.monotonic() - started_s
                self._record(f"desired state {config['version']} acknowledged after {took_s:.2f} s")
                return
        raise standins.CaseError(f"desired state {config['version']} is not acknowledged")

    def reads_newest(self):
        """Return whether a member answers with the newest acknowledged desired state."""
        status, _, body = self._call("GET", "/config/get")
        return status == 200 and body == self.acknowledged

    def _call(self, method, path, body=None):
        ips = self._deployment.control_ips
        ip = ips[self._turn % len(ips)]
        self._turn += 1
        return standins.call(
            (ip, self._deployment.control_port), method, path, body, timeout_s=1.0
        )


def share_served(deployment, numbers, seconds):
    """Send requests to all entries for some time; return the share that is answered with 200."""
    results = []
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        for ip in deployment.entry_ips:
            headers = standins.request_headers(f"probe-{next(numbers)}", left_ms=1_000)
            address = (ip, deployment.front_port)
            status, _, _ = standins.call(
                address, "POST", "/order/1", b"body", headers, timeout_s=1.0
            )
            results.append(status == 200)
        time.sleep(PROBE_S)
    return sum(results) / len(results)


def kill_all(deployment, record):
    """Kill all processes at once and start them again, with the disks of the core as they were."""
    role_by_ip = dict.fromkeys(deployment.control_ips, "control")
    role_by_ip.update(dict.fromkeys(deployment.entry_ips, "entry"))
    for ip in role_by_ip:
        deployment.signal(ip, signal.SIGKILL)
    for ip in role_by_ip:
        deployment.process_by_ip[ip].wait()
    time.sleep(DOWN_S)
    for ip, role in role_by_ip.items():
        deployment.start_process(role, ip, bootstrap=False)
    record("all processes are back")


def case(deployment, record, trouble):
    for position, name in enumerate(("app", "other", "app", "other")):
        address = (deployment.replica_ips[position], deployment.replica_port)
        deployment.instances.add(standins.Replica(address, name, lambda text: None))
    deployment.start()
    operator = Operator(deployment, record)
    operator.put(config_of(1, 0))
    numbers = iter(range(100_000))
    standins.wait_until("first answers", lambda: share_served(deployment, numbers, 0.5) == 1.0)
    version = 1
    routes = 0
    for growth in GROWTHS:
        version += 1
        routes += growth
        operator.put(config_of(version, routes))
    for _ in range(CHANGES):
        version += 1
        operator.put(config_of(version, routes))
    standins.wait_until("the newest state is read back", operator.reads_newest)
    before = share_served(deployment, numbers, 1.0)
    record(f"served before: {before:.2f}")
    if trouble:
        kill_all(deployment, record)
    back_s = time.monotonic()
    time.sleep(RECOVER_S)
    served = share_served(deployment, numbers, CHECK_S)
    record(f"served from {RECOVER_S:.0f} to {RECOVER_S + CHECK_S:.0f} s after: {served:.2f}")
    reads = False
    while not reads and time.monotonic() - back_s < RECOVER_S + 2 * CHECK_S:
        reads = operator.reads_newest()
    record(f"the newest desired state is {'read back' if reads else 'not read back'} by then")
    breaks = []
    if before >= 0.25 and served < 0.25:
        breaks.append(f"RECOVER: {served:.2f} of the requests served later than {RECOVER_S} s")
    if not reads:
        breaks.append("CONFIG: the acknowledged desired state doesn't come when it is read back")
    return breaks


standins.main(case, FOLDER, "127.81.5")
