"""Run one soak seed: a fleet, clients and an operator under faults, then check the invariants."""

import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from hemlockdock_standins.fleet.engine import LEDGER_PATH, EngineHistory
from soak.clients import (
    FIRST_MANIFEST_NUMBER,
    REQUEST_KINDS,
    Client,
    Operator,
    read_manifest_number,
)
from soak.faults import FaultInjector, draw_faults
from soak.fleet import LocalFleet
from soak.http_calls import OK
from soak.link_proxies import LinkProxies
from soak.oracle import (
    engine_breaches,
    process_breaches,
    request_breaches,
    resumption_breaches,
    route_breaches,
)
from soak.plan import ENGINE_PORT, PROXY_PORT, SERVICE_PORT, FleetPlan
from soak.proxy import Proxy, ProxyLoop

CLIENTS = 6
POLL_INTERVAL_S = 0.02
# The seed selects a loopback /24 block, so that concurrent runs don't share addresses.
ADDRESS_BLOCKS = 200
# Exceeds the longest time that a request may take.
SETTLE_S = 10.0


@dataclass(slots=True)
class SoakResult:
    """Result of one seed.

    Attributes
    ----------
    seed : int
    faults : list of Fault
    breaches : list of Breach
    requests, served, resumed : int
    changes : int
        Number of acknowledged route changes.
    logs : dict of str to str
        Logs of the processes by file name; filled only if there is a breach.
    """

    seed: int
    faults: list
    breaches: list = field(default_factory=list)
    requests: int = 0
    served: int = 0
    resumed: int = 0
    changes: int = 0
    logs: dict = field(default_factory=dict)


class SoakRun:
    """Soak run of one seed.

    Parameters
    ----------
    seed : int
    duration_s : float
        Period in which faults start.
    entries, agents : int, optional
    controls : int, optional
        With more than three, one waits for the place of a member that stops, is lost or wiped.
    """

    def __init__(self, seed, duration_s, entries=2, agents=2, controls=3):
        self._seed = seed
        self._duration_s = duration_s
        address_prefix = f"127.72.{seed % ADDRESS_BLOCKS}"
        self._plan = FleetPlan(
            address_prefix,
            controls,
            entries,
            agents,
            uses_proxies=True,
            proxies_links=True,
            versions=("v1", "v2"),
        )
        self._faults = draw_faults(self._plan, seed, duration_s)
        self._fleet = None
        self._proxy_by_ip = {}
        self._links = None

    def run(self):
        """Run the fleet under faults and check the invariants.

        Returns
        -------
        SoakResult
        """
        # Inherited by the processes, which SIGHUP would end before they catch it.
        former = signal.signal(signal.SIGHUP, signal.SIG_IGN)
        try:
            return self._run_fleet()
        finally:
            signal.signal(signal.SIGHUP, former)

    def _run_fleet(self):
        with tempfile.TemporaryDirectory() as folder:
            self._fleet = LocalFleet(self._plan, Path(folder))
            loop = ProxyLoop()
            try:
                return self._run(loop, Path(folder))
            finally:
                self._fleet.kill_all()
                for proxy in self._proxy_by_ip.values():
                    proxy.close()
                if self._links is not None:
                    self._links.close()
                loop.close()

    def _run(self, loop, folder):
        self._start_proxies(loop)
        self._fleet.start()
        self._fleet.wait_until(
            "routes accepted", lambda: self._fleet.submit_anywhere(FIRST_MANIFEST_NUMBER)
        )
        prober = Client("first", self._plan.entry_ips, self._seed)
        self._fleet.wait_until("a request served", lambda: self._every_kind_succeeds(prober))
        clients = [
            Client(f"c{number}", self._plan.entry_ips, self._seed) for number in range(CLIENTS)
        ]
        operator = Operator(self._fleet, self._seed)
        operator.submitted.add(FIRST_MANIFEST_NUMBER)
        for worker in (*clients, operator):
            worker.start()
        self._inject_faults()
        self._fleet.wait_until(
            "a request served after the faults", lambda: self._every_kind_succeeds(prober)
        )
        for worker in (*clients, operator, prober):
            worker.stop()
        time.sleep(SETTLE_S)
        return self._check([*clients, prober], operator, folder)

    def _start_proxies(self, loop):
        for ip in self._plan.agent_ips:
            self._proxy_by_ip[ip] = Proxy(loop, ip, PROXY_PORT, ENGINE_PORT)
        for ip in self._plan.service_ips:
            self._proxy_by_ip[ip] = Proxy(loop, ip, PROXY_PORT, SERVICE_PORT)
        for proxy in self._proxy_by_ip.values():
            proxy.start()
        self._links = LinkProxies(loop, self._plan)
        self._links.start()

    def _inject_faults(self):
        injector = FaultInjector(self._fleet, self._proxy_by_ip, self._links)
        steps = [(fault.at_s, injector.inject, fault) for fault in self._faults]
        steps += [(fault.until_s, injector.revert, fault) for fault in self._faults]
        steps.sort(key=lambda step: step[0])
        started_s = time.monotonic()
        for at_s, action, fault in steps:
            while time.monotonic() - started_s < at_s:
                time.sleep(POLL_INTERVAL_S)
            action(fault)

    def _every_kind_succeeds(self, client):
        before = len(client.sent)
        for number, kind in enumerate(REQUEST_KINDS):
            client.send_request(f"f{before + number}", kind)
        return all(item.response.status == OK for item in client.sent[before:])

    def _final_manifest_number(self):
        def read():
            found = [read_manifest_number(self._fleet, ip) for ip in self._plan.control_ips]
            return [number for number in found if number is not None]

        return max(self._fleet.wait_until("routes read at the end", read))

    def _ledgers(self):
        endpoints = [(ip, ENGINE_PORT) for ip in self._plan.agent_ips]
        endpoints += [(ip, SERVICE_PORT) for ip in self._plan.service_ips]
        ledgers = []
        for ip, port in endpoints:
            body = self._fleet.call(ip, port, "GET", LEDGER_PATH).body
            ledgers.append(msgspec.json.decode(body, type=EngineHistory))
        return ledgers

    def _check(self, clients, operator, folder):
        sent = [item for client in clients for item in client.sent]
        ledgers = self._ledgers()
        result = SoakResult(self._seed, self._faults)
        result.requests = len(sent)
        result.served = sum(item.response.status == OK for item in sent)
        result.changes = len(operator.acknowledged)
        result.breaches += request_breaches(sent, ledgers)
        resumptions = [item for client in clients for item in client.resumptions]
        result.resumed = sum(item.resumed.response.status == OK for item in resumptions)
        result.breaches += resumption_breaches(resumptions, self._plan.version_by_endpoint)
        result.breaches += engine_breaches(ledgers)
        result.breaches += process_breaches(self._fleet.own_ends)
        result.breaches += route_breaches(
            operator.acknowledged, operator.reads, operator.submitted, self._final_manifest_number()
        )
        if result.breaches:
            for path in sorted(folder.glob("*.log")):
                result.logs[path.name] = path.read_text()
        return result
