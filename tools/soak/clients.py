"""Client and operator load for the soak test; records each request and its response."""

import http.client
import random
import threading
import time
from dataclasses import dataclass

from hemlockdock_core.wire.own import WIRE
from soak.http_calls import CALL_TIMEOUT_S, OK, Response, exchange, request_headers
from soak.manifests import MODELS
from soak.plan import HTTP_PORT

PAUSE_S = 0.05
REQUEST_KINDS = ("read", "write", "live", "told")
STREAM_KINDS = ("live", "told")
# Streams of this kind may be resumed, and their clients take each up again after its first event.
RESUMABLE_KIND = "told"
RESUMED_KIND = "resumed"
# Probability that an iteration of the operator submits new routes before it reads them back.
CHANGE_PROBABILITY = 0.3
FIRST_MANIFEST_NUMBER = 100


@dataclass(frozen=True, slots=True)
class SentRequest:
    """Record of one request and its response.

    Attributes
    ----------
    request_id, kind : str
    ended_s : float
        Monotonic time at which the call ended.
    response : Response
    """

    request_id: str
    kind: str
    ended_s: float
    response: Response


@dataclass(frozen=True, slots=True)
class Resumption:
    """A stream that its client resumed, and its beginning.

    Attributes
    ----------
    first, resumed : SentRequest
    """

    first: SentRequest
    resumed: SentRequest


class Client:
    """Sends requests one at a time from its own thread, over persistent connections.

    Parameters
    ----------
    name : str
    entry_ips : list of str
    seed : int

    Attributes
    ----------
    sent : list of SentRequest
    resumptions : list of Resumption
    """

    def __init__(self, name, entry_ips, seed):
        self.sent = []
        self.resumptions = []
        self._name = name
        self._entry_ips = entry_ips
        self._random = random.Random(f"{seed}-{name}")
        self._connection_by_ip = {}
        self._stop_event = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Stop after the request in progress and close the connections."""
        self._stop_event.set()
        if self._thread.is_alive():
            self._thread.join()
        for connection in self._connection_by_ip.values():
            connection.close()

    def _run(self):
        number = 0
        while not self._stop_event.is_set():
            number += 1
            self.send_request(f"{self._name}-{number}", self._random.choice(REQUEST_KINDS))
            time.sleep(self._random.uniform(0.0, 2 * PAUSE_S))

    def send_request(self, request_id, kind):
        """Send one request to a random entry and record its response.

        Parameters
        ----------
        request_id, kind : str
        """
        model = self._random.choice(MODELS) if kind in STREAM_KINDS else ""
        headers = request_headers(request_id, model)
        first = self._exchange(request_id, kind, f"/{kind}/x", headers)
        if kind == RESUMABLE_KIND and first.response.status == OK:
            self._resume(first, headers)

    def _resume(self, first, headers):
        resumed_id = f"{first.request_id}-resumed"
        headers = {
            **headers,
            "X-Request-Id": resumed_id,
            "X-Resumed-Request": first.request_id,
            "Last-Event-Id": "1",
        }
        resumed = self._exchange(resumed_id, RESUMED_KIND, f"/{first.kind}/x", headers)
        self.resumptions.append(Resumption(first, resumed))

    def _exchange(self, request_id, kind, path, headers):
        ip = self._random.choice(self._entry_ips)
        connection = self._connection_by_ip.get(ip)
        if connection is None:
            connection = http.client.HTTPConnection(ip, HTTP_PORT, timeout=CALL_TIMEOUT_S)
            self._connection_by_ip[ip] = connection
        response = exchange(connection, "POST", path, b"body", headers)
        item = SentRequest(request_id, kind, time.monotonic(), response)
        self.sent.append(item)
        return item


class Operator:
    """Submits route manifests and reads them back, from its own thread.

    Parameters
    ----------
    fleet : LocalFleet
    seed : int

    Attributes
    ----------
    acknowledged : list of (float, int)
        Monotonic time of each acknowledgement, and the manifest number.
    reads : list of (float, int)
        Monotonic time at which each read was sent, and the manifest number it returned.
    submitted : set of int
    """

    def __init__(self, fleet, seed):
        self.acknowledged = []
        self.reads = []
        self.submitted = set()
        self._fleet = fleet
        self._random = random.Random(f"{seed}-operator")
        self._stop_event = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Stop after the call in progress."""
        self._stop_event.set()
        self._thread.join()

    def _run(self):
        number = FIRST_MANIFEST_NUMBER
        while not self._stop_event.is_set():
            ip = self._random.choice(self._fleet.plan.control_ips)
            if self._random.random() < CHANGE_PROBABILITY:
                number += self._random.randint(1, 3)
                self.submitted.add(number)
                if self._fleet.submit(number, ip) == OK:
                    self.acknowledged.append((time.monotonic(), number))
            sent_s = time.monotonic()
            read_number = read_manifest_number(self._fleet, ip)
            if read_number is not None:
                self.reads.append((sent_s, read_number))
            time.sleep(self._random.uniform(0.0, 4 * PAUSE_S))


def read_manifest_number(fleet, ip):
    """Return the number of the route manifest read from one member, or None if the read fails.

    Parameters
    ----------
    fleet : LocalFleet
    ip : str

    Returns
    -------
    int or None
    """
    text = fleet.read_routes(ip)
    return None if text is None else WIRE.decode_routes(text).number
