"""Send requests as clients do, over kept connections, and remember what came of each."""

import http.client
import random
import threading
import time
from dataclasses import dataclass

from hemlockdock_core.wire.own import WIRE
from soak.fleet import CALL_TIMEOUT_S, HTTP_PORT, MODELS, OK, Answer, exchange, request_headers

PAUSE_S = 0.05
KINDS = ("read", "write", "live")
# Part of an operator's calls that change routes; the others read them back.
CHANGE_PART = 0.3
FIRST_NUMBER = 100


@dataclass(frozen=True, slots=True)
class Sent:
    """Remember one request and its answer.

    Attributes
    ----------
    request_id, kind : str
    ended_s : float
        Monotonic.
    answer : Answer
    """

    request_id: str
    kind: str
    ended_s: float
    answer: Answer


class Client:
    """Send one request after the other from a thread of its own.

    Parameters
    ----------
    name : str
    entry_ips : list of str
    seed : int

    Attributes
    ----------
    sent : list of Sent
    """

    def __init__(self, name, entry_ips, seed):
        self.sent = []
        self._name = name
        self._entry_ips = entry_ips
        self._random = random.Random(f"{seed}-{name}")
        self._connection_by_ip = {}
        self._stops = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin."""
        self._thread.start()

    def stop(self):
        """End after the request that is under way."""
        self._stops.set()
        if self._thread.is_alive():
            self._thread.join()
        for connection in self._connection_by_ip.values():
            connection.close()

    def _run(self):
        number = 0
        while not self._stops.is_set():
            number += 1
            self.ask(f"{self._name}-{number}", self._random.choice(KINDS))
            time.sleep(self._random.uniform(0.0, 2 * PAUSE_S))

    def ask(self, request_id, kind):
        """Send one request and wait for its answer.

        Parameters
        ----------
        request_id, kind : str
        """
        ip = self._random.choice(self._entry_ips)
        connection = self._connection_by_ip.get(ip)
        if connection is None:
            connection = http.client.HTTPConnection(ip, HTTP_PORT, timeout=CALL_TIMEOUT_S)
            self._connection_by_ip[ip] = connection
        model = self._random.choice(MODELS) if kind == "live" else ""
        headers = request_headers(request_id, model)
        answer = exchange(connection, "POST", f"/{kind}/x", b"body", headers)
        self.sent.append(Sent(request_id, kind, time.monotonic(), answer))


class Operator:
    """Put routes in force, and read them back, from a thread of its own.

    Parameters
    ----------
    fleet : LocalFleet
    seed : int

    Attributes
    ----------
    acknowledged : list of (float, int)
        When a number was acknowledged, monotonic.
    reads : list of (float, int)
        When a read was sent, and the number that it brought.
    submitted : set of int
    """

    def __init__(self, fleet, seed):
        self.acknowledged = []
        self.reads = []
        self.submitted = set()
        self._fleet = fleet
        self._random = random.Random(f"{seed}-operator")
        self._stops = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin."""
        self._thread.start()

    def stop(self):
        """End after the call that is under way."""
        self._stops.set()
        self._thread.join()

    def _run(self):
        number = FIRST_NUMBER
        while not self._stops.is_set():
            ip = self._random.choice(self._fleet.plan.control_ips)
            if self._random.random() < CHANGE_PART:
                number += self._random.randint(1, 3)
                self.submitted.add(number)
                if self._fleet.submit(number, ip) == OK:
                    self.acknowledged.append((time.monotonic(), number))
            sent_s = time.monotonic()
            found = read_number(self._fleet, ip)
            if found is not None:
                self.reads.append((sent_s, found))
            time.sleep(self._random.uniform(0.0, 4 * PAUSE_S))


def read_number(fleet, ip):
    """Return the number of the routes that are read at one member, None where it isn't told.

    Parameters
    ----------
    fleet : LocalFleet
    ip : str

    Returns
    -------
    int or None
    """
    text = fleet.routes(ip)
    return None if text is None else WIRE.decode_routes(text).number
