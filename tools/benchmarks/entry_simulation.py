"""Drive entries' coordinators by seeded traces on virtual time."""

import random

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from benchmarks.virtual_endpoints import VirtualEndpoints
from hemlockdock_core.rows import ClassRow, ModelRow, RoutingTable
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
    """Stand for a link to control that is always there.

    Parameters
    ----------
    table : RoutingTable
    """

    fresh = True

    def __init__(self, table):
        self.table = table

    def send(self, message):
        """Drop a message for control."""

    report_load = send

    def propose(self, command, timeout_ms):
        """Leave a command unanswered; the traces claim nothing."""
        return Deferred()


class Caller:
    """Keep what one caller was told.

    Parameters
    ----------
    clock : twisted.internet.task.Clock
    request : Request
    """

    passed = False

    def __init__(self, clock, request):
        self.request = request
        self.answered_at = None
        self.refusal = None
        self._clock = clock

    @property
    def in_time(self):
        """Tell whether the whole answer came within the deadline."""
        return self.answered_at is not None and self.answered_at <= self.request.deadline_at

    def head(self, status, content_type, place):
        """Take the start of the answer."""

    def data(self, data):
        """Take bytes of the answer."""

    def reset(self):
        """Forget a failed try."""

    def end(self):
        """Take the end of the answer."""
        self.answered_at = self._clock.seconds()

    def refuse(self, refusal):
        """Take a refusal."""
        self.refusal = refusal


class EntrySimulation:
    """Hold entries and endpoints on one virtual clock.

    Parameters
    ----------
    seed : int
    endpoints, slots : int
        Endpoints, and the requests that each runs at once.
    service_s : callable
        Takes a random source, a Dispatch and a node id, returns seconds.
    entries : int, optional
    entry : str, optional
        INI lines of the ``entry`` section.

    Attributes
    ----------
    clock : twisted.internet.task.Clock
    random : random.Random
        For arrivals.
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
        """Return the entries' coordinators."""
        return self.endpoints.coordinators

    def submit(self, deadline_s, body="", entry=0, caller="", repeatable=True):
        """Send one request.

        Parameters
        ----------
        deadline_s : float
        body : str, optional
            Requests of one body have one fingerprint.
        entry : int, optional
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
        """Send requests at random times.

        Parameters
        ----------
        rate : float
            Requests a second.
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
        """Let time pass.

        Parameters
        ----------
        until_s : float
        """
        while self.clock.calls and self.clock.calls[0].getTime() <= until_s:
            self.clock.advance(max(0.0, self.clock.calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, until_s - self.clock.seconds()))
