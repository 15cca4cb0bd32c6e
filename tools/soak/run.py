"""Run one seed: a fleet, its clients and its operator, under faults, and judge it."""

import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from hemlockdock_standins.fleet.engine import LEDGER_PATH, EngineHistory
from soak.clients import FIRST_NUMBER, KINDS, Client, Operator, read_number
from soak.faults import FaultRunner, draw_faults
from soak.fleet import ENGINE_PORT, OK, PROXY_PORT, SERVICE_PORT, FleetPlan, LocalFleet
from soak.oracle import engine_breaches, request_breaches, route_breaches
from soak.proxy import Proxy, ProxyLoop

CLIENTS = 6
STEP_S = 0.02
# A block of loopback addresses for each seed, so that two runs don't meet.
BLOCKS = 200
# Longer than any request may take.
SETTLE_S = 10.0


@dataclass(slots=True)
class SoakResult:
    """Hold what one seed showed.

    Attributes
    ----------
    seed : int
    faults : list of Fault
    breaches : list of Breach
    requests, served : int
    changes : int
        Routes that were acknowledged.
    logs : dict of str to str
        The ends of the processes' logs, where a promise was broken.
    """

    seed: int
    faults: list
    breaches: list = field(default_factory=list)
    requests: int = 0
    served: int = 0
    changes: int = 0
    logs: dict = field(default_factory=dict)


class SoakRun:
    """Run one seed.

    Parameters
    ----------
    seed : int
    length_s : float
        For how long faults begin.
    entries, agents : int, optional
    """

    def __init__(self, seed, length_s, entries=2, agents=2):
        self._seed = seed
        self._length_s = length_s
        block = f"127.72.{seed % BLOCKS}"
        self._plan = FleetPlan(block, 3, entries, agents, uses_proxies=True)
        self._faults = draw_faults(self._plan, seed, length_s)
        self._fleet = None
        self._proxy_by_ip = {}

    def run(self):
        """Run and judge.

        Returns
        -------
        SoakResult
        """
        with tempfile.TemporaryDirectory() as folder:
            self._fleet = LocalFleet(self._plan, Path(folder))
            loop = ProxyLoop()
            try:
                return self._run(loop, Path(folder))
            finally:
                self._fleet.end()
                for proxy in self._proxy_by_ip.values():
                    proxy.close()
                loop.close()

    def _run(self, loop, folder):
        self._start_proxies(loop)
        self._fleet.start()
        self._fleet.until("routes accepted", lambda: self._fleet.submit_anywhere(FIRST_NUMBER))
        prober = Client("first", self._plan.entry_ips, self._seed)
        self._fleet.until("a request served", lambda: self._serves(prober))
        clients = [
            Client(f"c{number}", self._plan.entry_ips, self._seed) for number in range(CLIENTS)
        ]
        operator = Operator(self._fleet, self._seed)
        operator.submitted.add(FIRST_NUMBER)
        for worker in (*clients, operator):
            worker.start()
        self._play()
        self._fleet.until("a request served after the faults", lambda: self._serves(prober))
        for worker in (*clients, operator, prober):
            worker.stop()
        time.sleep(SETTLE_S)
        return self._judge([*clients, prober], operator, folder)

    def _start_proxies(self, loop):
        for ip in self._plan.agent_ips:
            self._proxy_by_ip[ip] = Proxy(loop, ip, PROXY_PORT, ENGINE_PORT)
        for ip in self._plan.service_ips:
            self._proxy_by_ip[ip] = Proxy(loop, ip, PROXY_PORT, SERVICE_PORT)
        for proxy in self._proxy_by_ip.values():
            proxy.start()

    def _play(self):
        runner = FaultRunner(self._fleet, self._proxy_by_ip)
        steps = [(fault.at_s, runner.begin, fault) for fault in self._faults]
        steps += [(fault.until_s, runner.end, fault) for fault in self._faults]
        steps.sort(key=lambda step: step[0])
        started_s = time.monotonic()
        for at_s, carry_out, fault in steps:
            while time.monotonic() - started_s < at_s:
                time.sleep(STEP_S)
            carry_out(fault)

    def _serves(self, client):
        before = len(client.sent)
        for number, kind in enumerate(KINDS):
            client.ask(f"f{before + number}", kind)
        return all(item.answer.status == OK for item in client.sent[before:])

    def _final_number(self):
        def read():
            found = [read_number(self._fleet, ip) for ip in self._plan.control_ips]
            return [number for number in found if number is not None]

        return max(self._fleet.until("routes read at the end", read))

    def _ledgers(self):
        places = [(ip, ENGINE_PORT) for ip in self._plan.agent_ips]
        places += [(ip, SERVICE_PORT) for ip in self._plan.service_ips]
        ledgers = []
        for ip, port in places:
            body = self._fleet.call(ip, port, "GET", LEDGER_PATH).body
            ledgers.append(msgspec.json.decode(body, type=EngineHistory))
        return ledgers

    def _judge(self, clients, operator, folder):
        sent = [item for client in clients for item in client.sent]
        ledgers = self._ledgers()
        result = SoakResult(self._seed, self._faults)
        result.requests = len(sent)
        result.served = sum(item.answer.status == OK for item in sent)
        result.changes = len(operator.acknowledged)
        result.breaches += request_breaches(sent, ledgers)
        result.breaches += engine_breaches(ledgers)
        result.breaches += route_breaches(
            operator.acknowledged, operator.reads, operator.submitted, self._final_number()
        )
        if result.breaches:
            for path in sorted(folder.glob("*.log")):
                result.logs[path.name] = path.read_text()
        return result
