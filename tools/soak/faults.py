"""Draw faults from a seed, and carry them out on a fleet."""

import random
import signal
from dataclasses import dataclass
from enum import Enum

from soak.proxy import Harm

# Time between the begins of two faults; most last longer, so that they overlap.
GAP_S = (0.2, 1.6)
LENGTH_S = (0.3, 4.0)
# Part of the faults that harm an endpoint's connections; the others harm processes.
HARM_PART = 0.35
# A member that comes back takes part again after this time.
CATCH_UP_S = 5.0


class FaultKind(Enum):
    """Name what is done."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "reload"
    WIPE = "wipe"
    HARM = "harm"


@dataclass(frozen=True, slots=True)
class Fault:
    """Hold one fault.

    Attributes
    ----------
    at_s, until_s : float
        From the begin of the run.
    kind : FaultKind
    target : str
        Address of a process, or of an endpoint whose proxy does harm.
    harm : Harm
    """

    at_s: float
    until_s: float
    kind: FaultKind
    target: str
    harm: Harm = Harm.NONE


def draw_faults(plan, seed, length_s):
    """Return the faults of a seed in the order of their begins.

    No more than one control member is harmed at any time: more would cost the quorum, and two
    folders that are lost at once may cost what was acknowledged.

    Parameters
    ----------
    plan : FleetPlan
    seed : int
    length_s : float

    Returns
    -------
    list of Fault
    """
    source = random.Random(seed)
    busy_until_s = {}
    faults = []
    at_s = 0.0
    while True:
        at_s += source.uniform(*GAP_S)
        if at_s >= length_s:
            return faults
        fault = _draw(plan, source, at_s)
        is_control = fault.target in plan.control_ips
        key = "control" if is_control else fault.target
        if busy_until_s.get(key, 0.0) > at_s:
            continue
        busy_until_s[key] = fault.until_s + (CATCH_UP_S if is_control else 0.0)
        faults.append(fault)


def _draw(plan, source, at_s):
    until_s = at_s + source.uniform(*LENGTH_S)
    if source.random() < HARM_PART:
        target = source.choice(plan.agent_ips + plan.service_ips)
        harm = source.choice([harm for harm in Harm if harm is not Harm.NONE])
        return Fault(at_s, until_s, FaultKind.HARM, target, harm)
    target = source.choice(plan.control_ips + plan.entry_ips + plan.agent_ips)
    kinds = [FaultKind.KILL, FaultKind.STOP, FaultKind.PAUSE, FaultKind.RELOAD]
    if target in plan.control_ips:
        kinds.append(FaultKind.WIPE)
    return Fault(at_s, until_s, source.choice(kinds), target)


class FaultRunner:
    """Carry faults out.

    Parameters
    ----------
    fleet : LocalFleet
    proxy_by_ip : dict of str to Proxy
    """

    def __init__(self, fleet, proxy_by_ip):
        self._fleet = fleet
        self._proxy_by_ip = proxy_by_ip

    def begin(self, fault):
        """Begin a fault.

        Parameters
        ----------
        fault : Fault
        """
        name = fault.target
        if fault.kind is FaultKind.HARM:
            self._proxy_by_ip[name].set_harm(fault.harm)
        elif fault.kind in (FaultKind.KILL, FaultKind.WIPE):
            self._fleet.kill(name)
            if fault.kind is FaultKind.WIPE:
                self._fleet.wipe(name)
        elif fault.kind is FaultKind.STOP:
            self._fleet.signal(name, signal.SIGTERM)
        elif fault.kind is FaultKind.PAUSE:
            self._fleet.signal(name, signal.SIGSTOP)
        else:
            self._fleet.signal(name, signal.SIGHUP)

    def end(self, fault):
        """End a fault: what was harmed is as before.

        Parameters
        ----------
        fault : Fault
        """
        name = fault.target
        if fault.kind is FaultKind.HARM:
            self._proxy_by_ip[name].set_harm(Harm.NONE)
        elif fault.kind is FaultKind.PAUSE:
            self._fleet.signal(name, signal.SIGCONT)
        elif fault.kind is not FaultKind.RELOAD:
            self._fleet.kill(name)
            self._fleet.restart(name, is_first=False)
