"""Definitions of the two sample deployments."""

from dataclasses import dataclass

CONTROL_MEMBERS = 3
ENTRIES = 3
ENDPOINTS = 9
SERVICE_INSTANCES = 3


@dataclass(frozen=True, slots=True)
class Deployment:
    """Definition of one sample deployment.

    Attributes
    ----------
    name : str
    seed : int
    base_port : int
        First of the 100 ports that the deployment uses.
    failure_domains : tuple of str
    models, adapters : int
    weights : dict
    fencing : str
    request_classes : tuple of dict
    model_classes : tuple of str
        Request classes assigned to the models in rotation.
    services : tuple of dict
    """

    name: str
    seed: int
    base_port: int
    failure_domains: tuple
    models: int
    adapters: int
    weights: dict
    fencing: str
    request_classes: tuple
    model_classes: tuple
    services: tuple

    @property
    def counts(self):
        """Return (role, number of processes) pairs in start order."""
        return (("control", CONTROL_MEMBERS), ("agent", ENDPOINTS), ("entry", ENTRIES))

    @property
    def node_ports(self):
        """Return the ports at which control members accept node connections."""
        return self._ports(1, CONTROL_MEMBERS)

    @property
    def peer_ports(self):
        """Return the ports that control members use for consensus traffic."""
        return self._ports(11, CONTROL_MEMBERS)

    @property
    def admin_ports(self):
        """Return the control members' administration ports."""
        return self._ports(21, CONTROL_MEMBERS)

    @property
    def entry_ports(self):
        """Return the entries' HTTP ports."""
        return self._ports(31, ENTRIES)

    @property
    def engine_ports(self):
        """Return the stand-in engines' ports."""
        return self._ports(71, ENDPOINTS)

    @property
    def service_ports(self):
        """Return the ports of the plain service instances."""
        return self._ports(81, SERVICE_INSTANCES)

    @property
    def platform_port(self):
        """Return the port of the stand-in platform, which serves the list of hosts."""
        return self.base_port + 91

    def listen_ports(self, role, index):
        """Return the link port and the HTTP port of an entry or agent.

        Parameters
        ----------
        role : str
        index : int

        Returns
        -------
        tuple of (int, int)
        """
        if role == "entry":
            return self.base_port + 41 + index, self.entry_ports[index]
        return self.base_port + 51 + index, self.base_port + 61 + index

    def _ports(self, offset, count):
        return [self.base_port + offset + index for index in range(count)]


def request_class(name, kind, deadline_ms, priority, repeatable=True):
    """Return a request class in the form used by the manifest.

    Parameters
    ----------
    name, kind : str
    deadline_ms : int
    priority : int
    repeatable : bool, optional

    Returns
    -------
    dict
    """
    return {
        "name": name,
        "kind": kind,
        "deadline_ms": deadline_ms,
        "priority": priority,
        "repeatable": repeatable,
    }


CONSULTORA = Deployment(
    name="gt-altiplano",
    seed=502,
    base_port=17_000,
    failure_domains=("altiplano-1", "altiplano-2", "altiplano-3"),
    models=60,
    adapters=100,
    weights={"tail_cold_start": 0.7},
    fencing="refuses_old",
    request_classes=(
        request_class("damage-narrative", "live", 30_000, 80),
        request_class("bridge-report", "job", 3_600_000, 10),
        request_class("defect-label", "short", 10_000, 60),
        request_class("work-order", "once", 30_000, 70, repeatable=False),
        request_class("inventory-lookup", "lookup", 2_000, 90),
    ),
    model_classes=("damage-narrative", "bridge-report", "defect-label", "work-order"),
    services=({"name": "inventory", "request_class": "inventory-lookup"},),
)

QALAM = Deployment(
    name="mct",
    seed=968,
    base_port=18_000,
    failure_domains=("mct-1", "mct-2", "mct-3"),
    models=40,
    adapters=100,
    weights={"tail_cold_start": 0.6, "credits_expire": "2027-03-31"},
    fencing="ignored",
    request_classes=(
        request_class("form-help", "live", 30_000, 80),
        request_class("seating-draft", "job", 8 * 3_600_000, 10),
        request_class("guest-summary", "short", 15_000, 60),
        request_class("booking", "once", 30_000, 70, repeatable=False),
        request_class("venue-lookup", "lookup", 2_000, 90),
    ),
    model_classes=("form-help", "seating-draft", "guest-summary", "booking"),
    services=(
        {"name": "venues", "request_class": "venue-lookup"},
        {"name": "bookings", "request_class": "booking"},
    ),
)

DEPLOYMENTS = (CONSULTORA, QALAM)
