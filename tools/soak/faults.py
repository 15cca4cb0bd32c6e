"""Draw a fault schedule from a seed and inject it into a fleet."""

import random
import signal
from dataclasses import dataclass
from enum import Enum

from soak.proxy import Harm

# Time between the starts of two faults. Most faults last longer, so that they overlap.
FAULT_INTERVAL_S = (0.2, 1.6)
FAULT_DURATION_S = (0.3, 4.0)
# Probability that a fault affects an endpoint's connections; the others affect processes.
PROXY_FAULT_PROBABILITY = 0.35
# Probability that a fault silences the open connections between nodes.
SILENCE_PROBABILITY = 0.15
# Probability that a fault kills all entries at once.
KILL_ENTRIES_PROBABILITY = 0.1
# Probability that an endpoint fails with a status, after it has begun to run a request.
FAILURE_PROBABILITY = 0.1
# Not 421: it states by itself that the request was not run.
FAILURE_STATUSES = (408, 429, 500, 502, 503)
# Reloads while a process starts again, and the time in which they come.
MOST_RELOADS_AT_START = 3
START_S = 1.0
# A restarted control member takes part in consensus again within this time.
CATCH_UP_S = 5.0


ALL_NODES = ""
ALL_ENTRIES = "entries"


class FaultKind(Enum):
    """Kinds of faults."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "reload"
    WIPE = "wipe"
    HARM = "harm"
    FAIL = "fail"
    SILENCE = "silence"
    KILL_ENTRIES = "kill all entries"


@dataclass(frozen=True, slots=True)
class Fault:
    """One scheduled fault.

    Attributes
    ----------
    at_s, until_s : float
        Seconds since the start of the run.
    kind : FaultKind
    target : str
        Address of a process, or of the endpoint whose proxy injects the fault; empty for all nodes.
    harm : Harm
        Proxy behaviour of a ``HARM`` fault.
    status : int
        Of the responses of a ``FAIL`` fault.
    """

    at_s: float
    until_s: float
    kind: FaultKind
    target: str
    harm: Harm = Harm.NONE
    status: int = 0


def draw_faults(plan, seed, duration_s):
    """Return the faults of a seed, ordered by start time.

    At most one control member is faulty at any time: with two of three down there is no quorum, and
    losing two data folders at once may lose acknowledged changes.

    Parameters
    ----------
    plan : FleetPlan
    seed : int
    duration_s : float

    Returns
    -------
    list of Fault
    """
    rng = random.Random(seed)
    busy_until_s = {}
    faults = []
    at_s = 0.0
    while True:
        at_s += rng.uniform(*FAULT_INTERVAL_S)
        if at_s >= duration_s:
            return sorted(faults, key=lambda fault: fault.at_s)
        fault = _draw_fault(plan, rng, at_s)
        is_control = fault.target in plan.control_ips
        key = "control" if is_control else fault.target
        if busy_until_s.get(key, 0.0) > at_s:
            continue
        busy_until_s[key] = fault.until_s + (CATCH_UP_S if is_control else 0.0)
        faults.append(fault)
        if fault.kind in (FaultKind.KILL, FaultKind.STOP, FaultKind.WIPE):
            faults += _draw_reloads_at_start(rng, fault)


def _draw_reloads_at_start(rng, fault):
    reloads = []
    for _ in range(rng.randint(0, MOST_RELOADS_AT_START)):
        at_s = fault.until_s + rng.uniform(0.0, START_S)
        reloads.append(Fault(at_s, at_s, FaultKind.RELOAD, fault.target))
    return reloads


def _draw_fault(plan, rng, at_s):
    until_s = at_s + rng.uniform(*FAULT_DURATION_S)
    if rng.random() < SILENCE_PROBABILITY:
        nodes = plan.control_ips + plan.entry_ips + plan.agent_ips
        # To one node the silence is one way; the nodes' own connections still deliver.
        target = rng.choice([ALL_NODES, rng.choice(nodes)])
        return Fault(at_s, at_s, FaultKind.SILENCE, target)
    if rng.random() < KILL_ENTRIES_PROBABILITY:
        return Fault(at_s, until_s, FaultKind.KILL_ENTRIES, ALL_ENTRIES)
    if rng.random() < FAILURE_PROBABILITY:
        target = rng.choice(plan.agent_ips + plan.service_ips)
        status = rng.choice(FAILURE_STATUSES)
        return Fault(at_s, until_s, FaultKind.FAIL, target, status=status)
    if rng.random() < PROXY_FAULT_PROBABILITY:
        target = rng.choice(plan.agent_ips + plan.service_ips)
        harm = rng.choice([harm for harm in Harm if harm is not Harm.NONE])
        return Fault(at_s, until_s, FaultKind.HARM, target, harm)
    target = rng.choice(plan.control_ips + plan.entry_ips + plan.agent_ips)
    kinds = [FaultKind.KILL, FaultKind.STOP, FaultKind.PAUSE, FaultKind.RELOAD]
    if target in plan.control_ips:
        kinds.append(FaultKind.WIPE)
    return Fault(at_s, until_s, rng.choice(kinds), target)


class FaultInjector:
    """Injects faults into a fleet and reverts them.

    Parameters
    ----------
    fleet : LocalFleet
    proxy_by_ip : dict of str to Proxy
        Proxies before the endpoints.
    links : LinkProxies
    """

    def __init__(self, fleet, proxy_by_ip, links):
        self._fleet = fleet
        self._proxy_by_ip = proxy_by_ip
        self._links = links

    def inject(self, fault):
        """Start a fault.

        Parameters
        ----------
        fault : Fault
        """
        name = fault.target
        if fault.kind is FaultKind.SILENCE:
            self._links.silence_to(self._links.ips if name == ALL_NODES else [name])
        elif fault.kind is FaultKind.HARM:
            self._proxy_by_ip[name].set_harm(fault.harm)
        elif fault.kind is FaultKind.FAIL:
            self._fleet.set_failure(name, str(fault.status))
        elif fault.kind is FaultKind.KILL_ENTRIES:
            for ip in self._fleet.plan.entry_ips:
                self._fleet.signal(ip, signal.SIGKILL)
        elif fault.kind in (FaultKind.KILL, FaultKind.WIPE):
            self._fleet.kill(name)
            if fault.kind is FaultKind.WIPE:
                self._fleet.wipe(name)
        elif fault.kind is FaultKind.STOP:
            self._fleet.signal(name, signal.SIGTERM)
        elif fault.kind is FaultKind.PAUSE:
            self._fleet.signal(name, signal.SIGSTOP)
        else:
            self._fleet.reload(name)

    def revert(self, fault):
        """End a fault: restore the proxy, resume the process or restart it.

        Parameters
        ----------
        fault : Fault
        """
        name = fault.target
        if fault.kind is FaultKind.SILENCE:
            # Connections that went silent stay so.
            return
        if fault.kind is FaultKind.HARM:
            self._proxy_by_ip[name].set_harm(Harm.NONE)
        elif fault.kind is FaultKind.FAIL:
            self._fleet.set_failure(name, "")
        elif fault.kind is FaultKind.PAUSE:
            self._fleet.signal(name, signal.SIGCONT)
        elif fault.kind is FaultKind.KILL_ENTRIES:
            for ip in self._fleet.plan.entry_ips:
                self._restart(ip)
        elif fault.kind is not FaultKind.RELOAD:
            self._restart(name)

    def _restart(self, name):
        self._fleet.kill(name)
        self._fleet.restart(name, is_first=False)
