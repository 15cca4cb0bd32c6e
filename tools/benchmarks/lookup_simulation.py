"""Simulate calls to plain services in virtual time."""

import math
import random

from twisted.internet.defer import Deferred

from benchmarks.entry_simulation import EntrySimulation
from hemlockdock_core.rows import ServiceRow
from hemlockdock_entry.intake import Request
from hemlockdock_entry.services import ServiceAnswer, ServiceCall, ServiceDispatcher

LOOKUPS_PER_S = 100.0
LOOKUP_S = 0.004
BOOKING_S = 0.05
IN_FLIGHT = 16
URLS = ["http://one", "http://two", "http://three"]
LOOKUP_DEADLINE_S = 0.5
BOOKING_DEADLINE_S = 8.0
RUSH_FACTOR = 3.0
RUN_S = 10.0
DRAIN_S = 4.0
P99 = 0.99
MODEL_SERVICE_S = 0.4
MODEL_ENDPOINTS = 4
MODEL_SLOTS = 4
SLOW_FACTOR = 50.0


class VirtualClient:
    """HTTP client that answers calls after a random time.

    Parameters
    ----------
    clock : twisted.internet.task.Clock
    random_source : random.Random
    slow_fraction : float
        Fraction of the calls that take ``SLOW_FACTOR`` times longer.
    """

    def __init__(self, clock, random_source, slow_fraction):
        self._clock = clock
        self._random = random_source
        self._slow_fraction = slow_fraction

    def call(self, method, url, headers, body):
        """Schedule the answer of one call and return its Deferred."""
        mean_s = LOOKUP_S if method == "GET" else BOOKING_S
        seconds = mean_s * (0.5 + 0.5 * self._random.expovariate(1.0))
        if self._random.random() < self._slow_fraction:
            seconds *= SLOW_FACTOR
        answered = Deferred()
        self._clock.callLater(seconds, self._answer, answered)
        return answered

    @staticmethod
    def _answer(answered):
        if not answered.called:
            answered.callback(ServiceAnswer(200))


class LookupCaller:
    """Record the latency of one call.

    Parameters
    ----------
    clock : twisted.internet.task.Clock
    """

    def __init__(self, clock):
        self.started_at = clock.seconds()
        self.took_s = math.inf
        self._clock = clock

    def answer(self, answer):
        """Record the latency of the answer."""
        self.took_s = self._clock.seconds() - self.started_at

    def refuse(self, refusal):
        """Leave the latency infinite, so that a refusal ranks after every answer."""


class LookupSimulation:
    """One entry with a plain service that takes lookups and bookings.

    Parameters
    ----------
    seed : int
    slow_fraction : float, optional
    entry : str, optional
        INI lines of the ``entry`` section.
    """

    def __init__(self, seed, slow_fraction=0.0, entry=""):
        self.simulation = EntrySimulation(
            seed, MODEL_ENDPOINTS, MODEL_SLOTS, _model_service_s, entry=entry
        )
        self.coordinator = self.simulation.coordinators[0]
        self.simulation.table.put(ServiceRow("venues", URLS, "lookup", ["GET"], IN_FLIGHT))
        client = VirtualClient(self.simulation.clock, random.Random(seed + 3), slow_fraction)
        self._services = ServiceDispatcher(self.coordinator, client, random.Random(seed + 4))
        self._count = 0

    def p99_s(self, rush):
        """Run the simulation and return the 99th percentile latency of lookups in seconds.

        Parameters
        ----------
        rush : bool
            Whether bookings and model requests arrive at three times the capacity.

        Returns
        -------
        float
        """
        lookups = []
        self.simulation.schedule_arrivals(
            LOOKUPS_PER_S, RUN_S, lambda: lookups.append(self._call("GET"))
        )
        if rush:
            bookings = RUSH_FACTOR * IN_FLIGHT / BOOKING_S
            self.simulation.schedule_arrivals(bookings, RUN_S, lambda: self._call("POST"))
            requests = RUSH_FACTOR * MODEL_ENDPOINTS * MODEL_SLOTS / MODEL_SERVICE_S
            self.simulation.schedule_arrivals(requests, RUN_S, lambda: self.simulation.submit(2.0))
        self.simulation.run(RUN_S + DRAIN_S)
        sorted_times = sorted(caller.took_s for caller in lookups)
        return sorted_times[int(P99 * len(sorted_times))]

    def _call(self, method):
        is_lookup = method == "GET"
        clock = self.simulation.clock
        now = clock.seconds()
        self._count += 1
        request = Request(
            request_id=f"s{self._count}",
            caller=f"caller-{self._count % 20}",
            model="",
            adapter="",
            path="/",
            body=b"",
            streaming=False,
            class_name="lookup" if is_lookup else "booking",
            kind="lookup" if is_lookup else "short",
            repeatable=is_lookup,
            key="",
            priority=90 if is_lookup else 50,
            retention_s=60,
            admitted_at=now,
            deadline_at=now + (LOOKUP_DEADLINE_S if is_lookup else BOOKING_DEADLINE_S),
            fingerprint=f"s{self._count}",
        )
        reply = LookupCaller(clock)
        call = ServiceCall(
            self.coordinator, self._services, "venues", request, method, "/", {}, reply
        )
        self.coordinator.submit(call)
        return reply


def _model_service_s(source, message, node_id):
    return MODEL_SERVICE_S * (0.5 + 0.5 * source.expovariate(1.0))
