"""Clients that send or read nothing that an ordinary client would, and checks of a process."""

import contextlib
import itertools
import os
import re
import resource
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from soak.fleet import LocalFleet  # noqa: E402
from soak.http_calls import request_headers  # noqa: E402
from soak.manifests import manifest  # noqa: E402
from soak.plan import ADMIN_PORT, HTTP_PORT, FleetPlan  # noqa: E402

from hemlockdock_core.rows import LimitsRow  # noqa: E402
from hemlockdock_core.wire.own import WIRE  # noqa: E402

KB = 1_024
MB = 1_024 * KB
METRICS_PORT = 27_412
# The stated target, lowered: the thinnest host has 160 MB, of which an idle process takes a third
# or more. A process under test may grow by 48 MB, which also covers what the allocator retains.
MAX_GROWTH_MB = 48
# Soft limit of open descriptors of the processes under test, and how many must stay unused for
# links, logs and connections to endpoints.
DESCRIPTORS = 256
SPARE_DESCRIPTORS = 32
# Limits of the manifest, as deployed.
LIMITS = LimitsRow(2, 16_384, 4 * MB, 3_000, 15_000)
CROWD = 40
# A process is quiet if it used no more processor time than this in an interval; kernel buffers
# then hold nothing that it has yet to read.
QUIET_TICKS = 4
QUIET_INTERVAL_S = 0.5
QUIET_LIMIT_S = 60
SEND_TIMEOUT_S = 5
CONNECT_TIMEOUT_S = 15
# Memory that each process is told it may use, in MB: its budgets are then soon exhausted.
MEMORY_MB = 64
REQUEST_NUMBERS = itertools.count()
VALUE = re.compile(r"^(VmHWM|VmRSS):\s+(\d+) kB", re.MULTILINE)


class UntrustedClientFleet(LocalFleet):
    """A small fleet with lowered limits, whose processes also serve metrics."""

    def __init__(self, prefix, folder):
        super().__init__(FleetPlan(prefix, controls=3), folder)

    def start(self):
        """Start the processes with a lowered limit of open descriptors."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
        try:
            super().start()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    def submit_routes(self):
        """Submit the routes with the limits of these tests, and wait until a member takes them."""
        routes = manifest(LIMITS.number)
        text = WIRE.encode_routes(type(routes)(LIMITS, routes.routes, routes.pools))
        path = WIRE.operator_paths.submit.decode()

        def submit():
            for ip in self.plan.control_ips:
                if self.call(ip, ADMIN_PORT, "POST", path, text).status == 200:
                    return True
            return False

        self.wait_until("routes accepted", submit)

    def is_serving(self, entry):
        """Return whether the entry answers an ordinary request."""
        headers = request_headers("ordinary")
        return self.call(entry, HTTP_PORT, "POST", "/read/x", b"body", headers).status == 200

    def _settings(self, role, ip):
        text = super()._settings(role, ip)
        text = text.replace("[process]\n", f"[process]\nmemory_mb = {MEMORY_MB}\n")
        return text.replace("[listen]\n", f"[listen]\nmetrics = {ip}:{METRICS_PORT}\n")


class ProcessWatch:
    """Compare a process's memory and descriptors with what they were before the load.

    Parameters
    ----------
    process : subprocess.Popen
    """

    def __init__(self, process):
        self._process = process
        # Makes VmHWM start again from the memory that is in use now.
        Path(f"/proc/{process.pid}/clear_refs").write_text("5")
        self._before_mb = self._read()["VmHWM"]
        self._most_descriptors = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._count_descriptors, daemon=True)
        self._thread.start()

    def wait_until_quiet(self):
        """Wait until the process has read what was sent, or for a limited time."""
        end_s = time.monotonic() + QUIET_LIMIT_S
        while time.monotonic() < end_s and self._process.poll() is None:
            before = self._ticks()
            time.sleep(QUIET_INTERVAL_S)
            if self._ticks() - before <= QUIET_TICKS:
                return

    def problems(self):
        """Stop watching, and return what went past its bound, each as a text.

        Returns
        -------
        list of str
        """
        self._stopped.set()
        self._thread.join()
        if self._process.poll() is not None:
            return [f"the process ended with {self._process.returncode}"]
        found = []
        growth_mb = self._read()["VmHWM"] - self._before_mb
        if growth_mb > MAX_GROWTH_MB:
            found.append(f"memory grew by {growth_mb:.0f} MB, more than {MAX_GROWTH_MB}")
        if self._most_descriptors > DESCRIPTORS - SPARE_DESCRIPTORS:
            found.append(f"{self._most_descriptors} descriptors of {DESCRIPTORS} were open")
        return found

    def _read(self):
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        return {name: int(kb) / KB for name, kb in VALUE.findall(text)}

    def _ticks(self):
        with contextlib.suppress(OSError):
            fields = Path(f"/proc/{self._process.pid}/stat").read_text().rpartition(")")[2].split()
            return int(fields[11]) + int(fields[12])
        return 0

    def _count_descriptors(self):
        while not self._stopped.wait(0.05):
            with contextlib.suppress(OSError):
                count = len(os.listdir(f"/proc/{self._process.pid}/fd"))
                self._most_descriptors = max(self._most_descriptors, count)


class Crowd:
    """Clients that send at once and stay connected until the crowd is closed.

    Parameters
    ----------
    address : (str, int)
    source_prefix : str, optional
        First three octets of the clients' own addresses; they share one address by default.
    """

    def __init__(self, address, source_prefix=""):
        self._address = address
        self._source_prefix = source_prefix
        self._sockets = []
        self._lock = threading.Lock()

    def run(self, count, parts_of_client, receive_buffer=0):
        """Run clients until each has sent everything, was disconnected or cannot send on.

        Parameters
        ----------
        count : int
        parts_of_client : callable
            Takes a client's number, returns an iterable of the bytes that it sends.
        receive_buffer : int, optional
            Size of the clients' receive buffers, in bytes; 0 for the default.
        """
        threads = []
        for number in range(count):
            arguments = (number, parts_of_client(number), receive_buffer)
            threads.append(threading.Thread(target=self._send, args=arguments, daemon=True))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def close(self):
        """Close all connections."""
        for connection in self._sockets:
            connection.close()

    def _send(self, number, parts, receive_buffer):
        connection = socket.socket()
        with self._lock:
            self._sockets.append(connection)
        with contextlib.suppress(OSError):
            if receive_buffer:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            if self._source_prefix:
                connection.bind((f"{self._source_prefix}.{200 + number % 40}", 0))
            connection.settimeout(CONNECT_TIMEOUT_S)
            connection.connect(self._address)
            connection.settimeout(SEND_TIMEOUT_S)
            for part in parts:
                connection.sendall(part)


def repeated(first, part, total_bytes):
    """Yield a first part, and then another one again and again up to a number of bytes."""
    yield first
    part *= max(1, 64 * KB // len(part))
    for _ in range(total_bytes // len(part)):
        yield part


def long_head(target):
    """Yield a complete head of four times the limit."""
    yield _head(b"GET", target) + b"X-A: " + b"a" * 64 * KB + b"\r\n\r\n"


def endless_header_line(target):
    """Yield a header line without end."""
    return repeated(_head(b"GET", target) + b"X-A: ", b"a", 4 * MB)


def endless_headers(target):
    """Yield header lines without end."""
    return repeated(_head(b"GET", target), b"a: b\r\n", MB)


def single_bytes(target):
    """Yield a head byte by byte, without its end."""
    head = _head(b"GET", target) + b"X-A: " + b"a" * 200
    return (head[n : n + 1] for n in range(len(head)))


def empty_lines(_target):
    """Yield empty lines without end where a request should begin."""
    return repeated(b"\r\n", b"\r\n", 4 * MB)


def endless_trailers(target):
    """Yield trailers without end after a chunked body."""
    head = _head(b"POST", target) + b"Transfer-Encoding: chunked\r\n\r\n"
    return repeated(head + b"1\r\nx\r\n0\r\n", b"a: b\r\n", 2 * MB)


def endless_chunk_extension(target):
    """Yield a chunk extension without end."""
    head = _head(b"POST", target) + b"Transfer-Encoding: chunked\r\n\r\n"
    return repeated(head + b"1;a=", b"a", 8 * MB)


def body_cut_short(target, size):
    """Yield a body of legal size with a stated length, but for its last byte."""
    yield _head(b"POST", target) + b"Content-Length: %d\r\n\r\n" % size
    yield b"x" * (size - 1)


def whole_body(target, size):
    """Yield a complete body of legal size."""
    return itertools.chain(body_cut_short(target, size), [b"x"])


def body_in_pieces(target, size):
    """Yield a chunked body of legal size in chunks of two bytes, without its end."""
    head = _head(b"POST", target) + b"Transfer-Encoding: chunked\r\n\r\n"
    return repeated(head, b"2\r\nxx\r\n", size // 2 * 7)


def pipelined_requests(target):
    """Yield fifteen requests at once, as many as may be sent ahead."""
    yield b"".join(_head(b"GET", target) + b"\r\n" for _ in range(15))


def one_request(target, extra=b""):
    """Yield one complete request, whose response is not read."""
    yield _head(b"GET", target) + extra + b"\r\n"


def _head(method, target):
    number = next(REQUEST_NUMBERS)
    names = b"Host: shop.test\r\nX-Request-Id: crowd-%d\r\nX-Time-Left-Ms: 9000\r\n" % number
    return b"%b %b HTTP/1.1\r\n%b" % (method, target, names)
