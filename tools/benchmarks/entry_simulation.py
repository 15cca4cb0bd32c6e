"""Simulate entries with random requests in virtual time."""

import random

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from benchmarks.virtual_endpoints import VirtualEndpoints
from hemlockdock_core.rows import ClassRow, ModelRow, NodeRow, RoutingTable
from hemlockdock_core.settings import parse_settings
from hemlockdock_entry.intake import Request
from hemlockdock_entry.tasks.coordinator import RequestCoordinator
from hemlockdock_entry.tasks.exchange import Exchange

SETTINGS = """
[process]
node_id = entry-{number}
roles = entry
host = host
failure_domain = a
[control]
members = c1@tcp://127.0.0.1:1@tcp://127.0.0.1:2
[entry]
{entry}
"""
MODEL = "m"
PATH = "/v1/completions"
DRAIN_S = 30.0


class NullControlLink:
    """Link to control that is always connected and drops all messages.

    Parameters
    ----------
    table : RoutingTable
    """

    fresh = True

    def __init__(self, table):
        self.table = table

    def send(self, message):
        """Drop a message."""

    report_load = send

    def propose(self, command, timeout_ms):
        """Return a Deferred that never fires, since no simulated request claims a run."""
        return Deferred()


class Caller:
    """Record the answer or refusal of one request.

    Parameters
    ----------
    clock : twisted.internet.task.Clock
    request : Request
    """

    has_started = False

    def __init__(self, clock, request):
        self.request = request
        self.answered_at = None
        self.refusal = None
        self._clock = clock

    @property
    def in_time(self):
        """Return whether the answer was complete before the deadline."""
        return self.answered_at is not None and self.answered_at <= self.request.deadline_at

    def head(self, status, content_type, position):
        """Ignore the head of the answer."""

    def data(self, data):
        """Ignore a chunk of the answer."""

    def reset(self):
        """Ignore the reset after a failed attempt."""

    def end(self):
        """Record the time of the complete answer."""
        self.answered_at = self._clock.seconds()

    def refuse(self, refusal):
        """Record a refusal."""
        self.refusal = refusal


class EntrySimulation:
    """Entries and endpoints on one virtual clock.

    Parameters
    ----------
    seed : int
    endpoints, slots : int
        Number of endpoints, and of concurrent requests on each.
    service_s : callable
        Takes a random source, a Dispatch and a node id, and returns the run time in seconds.
    entries : int, optional
        Number of entries.
    entry : str, optional
        INI lines of the ``entry`` section.

    Attributes
    ----------
    clock : twisted.internet.task.Clock
    random : random.Random
        Random source of the arrival times.
    callers : list of Caller
    """

    def __init__(self, seed, endpoints, slots, service_s, entries=1, entry=""):
        self.clock = Clock()
        self.random = random.Random(seed)
        self.callers = []
        self.table = RoutingTable()
        self.table.put(ClassRow("short", "short", 2_000, True, 50, 60))
        self.table.put(ModelRow(MODEL, "v1", "short", 50, endpoints, slots, 5_000))
        engine_random = random.Random(seed + 1)
        self.endpoints = VirtualEndpoints(
            self.clock,
            self.table,
            engine_random,
            endpoints,
            slots,
            lambda message, node_id: service_s(engine_random, message, node_id),
        )
        for number in range(entries):
            node_id = f"entry-{number}"
            self.table.put(
                NodeRow(node_id, "entry", "host", "a", str(number), 1, leaving=False, lost=False)
            )
            settings = parse_settings(SETTINGS.format(number=number, entry=entry), "bench")
            coordinator = RequestCoordinator(
                self.clock,
                settings,
                NullControlLink(self.table),
                self.endpoints.sender(number),
                random.Random(seed + 2 + number),
                lambda: int(self.clock.seconds() * 1000),
            )
            coordinator.start()
            self.endpoints.coordinators.append(coordinator)

    @property
    def coordinators(self):
        """Return the request coordinators, one per entry."""
        return self.endpoints.coordinators

    def submit(self, deadline_s, body="", entry=0, caller="", repeatable=True):
        """Send one request.

        Parameters
        ----------
        deadline_s : float
        body : str, optional
            Requests with equal bodies have the same fingerprint.
        entry : int, optional
            Index of the entry.
        caller : str, optional
        repeatable : bool, optional

        Returns
        -------
        Caller
        """
        now = self.clock.seconds()
        number = len(self.callers)
        request = Request(
            request_id=f"q{number}",
            caller=caller or f"caller-{number % 20}",
            model=MODEL,
            adapter="",
            path=PATH,
            body=body.encode(),
            streaming=False,
            class_name="short",
            kind="short",
            repeatable=repeatable,
            key="",
            priority=50,
            retention_s=60,
            admitted_at=now,
            deadline_at=now + deadline_s,
            fingerprint=body or f"fingerprint-{number}",
        )
        caller = Caller(self.clock, request)
        self.callers.append(caller)
        coordinator = self.coordinators[entry]
        coordinator.submit(Exchange(coordinator, request, caller))
        return caller

    def schedule_arrivals(self, rate, until_s, submit):
        """Schedule requests as a Poisson process.

        Parameters
        ----------
        rate : float
            Mean number of requests per second.
        until_s : float
        submit : callable
            Sends one request.
        """

        def send_next():
            if self.clock.seconds() >= until_s:
                return
            submit()
            self.clock.callLater(self.random.expovariate(rate), send_next)

        self.clock.callLater(self.random.expovariate(rate), send_next)

    def run(self, until_s):
        """Advance the virtual clock, and run what is due.

        Parameters
        ----------
        until_s : float
        """
        while self.clock.calls and self.clock.calls[0].getTime() <= until_s:
            self.clock.advance(max(0.0, self.clock.calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, until_s - self.clock.seconds()))
