"""Stand-ins for clients, replicas and the platform, and a small deployment of real processes."""

import contextlib
import http.client
import http.server
import json
import os
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SETTINGS_VARIABLE = "HEMLOCKDOCK_NODE_FILE"
PLACEHOLDER = re.compile(r"\{\{([a-z_.0-9]+)\}\}")
HOST = "review.example"
ZONE = "zone-a"
WAIT_S = 30.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
# As in the settings that the platform writes for its smaller deployments.
BOUNDS = {
    "stable_window_ms": 3000,
    "drain_ms": 3000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 56,
    "require_fencing": False,
}


class CaseError(Exception):
    """The case could not be run."""


class Record:
    """Write what happens to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def __call__(self, text):
        with self._lock:
            line = f"{time.monotonic() - self._start_s:8.3f}  {text}"
            self._file.write(line + "\n")
            self._file.flush()

    def close(self):
        self._file.close()


class QuietServer(socketserver.ThreadingTCPServer):
    """A threaded server that reports no broken connections."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass

    def run(self):
        """Serve in a thread."""
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()


class InstanceList:
    """The platform's list of replicas."""

    def __init__(self, address):
        self.entry_by_id = {}
        listing = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                entries = list(listing.entry_by_id.values())
                body = json.dumps({"instances": entries, "next": None}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        self._server = QuietServer(address, Handler)
        self._server.run()

    def add(self, replica):
        """List a replica as ready."""
        self.entry_by_id[replica.replica_id] = {
            "id": replica.replica_id,
            "service": replica.service,
            "address": "%s:%d" % replica.address,
            "zone": ZONE,
            "version": "v1",
            "slots": replica.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
        }

    def close(self):
        self._server.shutdown()
        self._server.server_close()


class Request:
    """One request that a replica has read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self):
        return self.headers.get("x-request-id", "")


def read_message(reader):
    """Return the first line, the headers and the body of the next HTTP message; None at the end."""
    line = reader.readline().decode("latin-1").strip()
    if not line:
        return None
    headers = {}
    while text := reader.readline().decode("latin-1").strip():
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(reader.readline().split(b";")[0] or b"0", 16):
            body += reader.read(size)
            reader.readline()
        reader.readline()
    elif "content-length" in headers:
        body = reader.read(int(headers["content-length"]))
    return line, headers, body


class Replica:
    """A sound replica that works on each request for some time and then answers it in full."""

    slots = 32

    def __init__(self, address, service, record, work_s=0.02):
        self.address = address
        self.service = service
        self.replica_id = f"i-{service}-{address[0].rpartition('.')[2]}"
        self.work_s = work_s
        self.record = record
        # Ids of the requests that it ran, in order, and of those that it answered in full.
        self.runs = []
        self.answered = []
        self._lock = threading.Lock()
        replica = self

        class Handler(socketserver.StreamRequestHandler):
            disable_nagle_algorithm = True

            def handle(self):
                while True:
                    message = read_message(self.rfile)
                    if message is None:
                        return
                    method, target, _ = message[0].split(" ", 2)
                    request = Request(method, target, message[1], message[2])
                    replica.handle(request, self.wfile, self.connection)

        self._server = QuietServer(address, Handler)
        self._server.run()

    def work_time_s(self, request):
        """Return how long the replica works on a request."""
        return self.work_s

    def handle(self, request, out, connection):
        """Answer one request."""
        if request.target == "/health":
            out.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Instance-Id: %b\r\n\r\n"
                % self.replica_id.encode()
            )
            return
        target = request.headers.get("x-target-instance", self.replica_id)
        if target != self.replica_id:
            self.write_answer(out, request, 421, b"", "X-Not-Executed: 1\r\n")
            return
        self.run(request, out, connection)

    def run(self, request, out, connection):
        """Run a request and answer it."""
        with self._lock:
            self.runs.append(request.request_id)
        self.record(f"{self.replica_id} runs {request.request_id} {request.target}")
        time.sleep(self.work_time_s(request))
        body = b"answer to " + request.request_id.encode()
        self.write_answer(out, request, 200, body, f"X-Response-Signature: {self.signature()}\r\n")
        self.record(f"{self.replica_id} answered {request.request_id} 200")
        with self._lock:
            self.answered.append(request.request_id)

    def signature(self):
        """Return a signature of the replica."""
        return f"{self.replica_id}.{len(self.runs)}"

    def write_answer(self, out, request, status, body, extra=""):
        """Write a whole answer."""
        head = (
            f"HTTP/1.1 {status} X\r\nX-Request-Id: {request.request_id}\r\n{extra}"
            f"Content-Length: {len(body)}\r\nKeep-Alive: timeout=5\r\n\r\n"
        )
        out.write(head.encode() + body)
        out.flush()

    def close(self):
        self._server.shutdown()
        self._server.server_close()


class Deployment:
    """The processes of a small deployment, started as the deploy file says."""

    def __init__(self, folder, record, prefix, entries=2, controls=3):
        self.record = record
        self.entry_ips = [f"{prefix}.{40 + number}" for number in range(entries)]
        self.control_ips = [f"{prefix}.{1 + number}" for number in range(controls)]
        self.replica_ips = [f"{prefix}.{80 + number}" for number in range(8)]
        self.list_ip = f"{prefix}.160"
        ips = [*self.entry_ips, *self.control_ips, *self.replica_ips, self.list_ip]
        ports = free_ports(ips, 9)
        self.front_port, self.ready_port, self.control_port, self.list_port = ports[:4]
        self.replica_port, self.node_port, self.peer_port, self.metrics_port = ports[4:8]
        self._folder = folder
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.process_by_ip = {}
        # Open files for the output of the processes of a role; by default, files of the test.
        self.log_by_role = {}
        self._processes = []
        self.instances = InstanceList((self.list_ip, self.list_port))

    def start(self):
        """Start control and the entries."""
        for ip in self.control_ips:
            self.start_process("control", ip)
        for ip in self.entry_ips:
            self.start_process("entry", ip)

    def start_process(self, role, ip, bootstrap=True):
        """Write the settings of a process and start it."""
        name = f"{role}-{ip}"
        data = self._folder / f"data-{name}"
        data.mkdir(exist_ok=True)
        values = {
            "node_name": name,
            "ip": ip,
            "zone": ZONE,
            "seeds": [f"{seed}:{self.control_port}" for seed in self.control_ips[:3]],
            "bootstrap": bootstrap,
            "data_dir": str(data),
            "internal_ports": [self.node_port, self.peer_port],
            "listen": {
                "front": f"{ip}:{self.front_port}",
                "ready": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{self.control_port}",
            },
            "bounds": BOUNDS,
            "cloud": {"address": f"{self.list_ip}:{self.list_port}"},
        }
        text = (ROOT / self._roles[role]["template"]).read_text()
        text = PLACEHOLDER.sub(lambda match: rendered(values, match.group(1)), text)
        # Processes of the test share one host, so the metrics of each get a port of the test.
        text = text.replace(f"{ip}:9464", f"{ip}:{self.metrics_port}")
        path = self._folder / f"{name}.ini"
        path.write_text(text)
        command = self._roles[role]["run"].split()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment[SETTINGS_VARIABLE] = str(path)
        with (self._folder / f"{name}.log").open("ab") as own_log:
            log = self.log_by_role.get(role, own_log)
            process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.process_by_ip[ip] = process
        self._processes.append(process)
        self.record(f"started {name}")

    def signal(self, ip, number):
        """Send a signal to a process that the test started."""
        process = self.process_by_ip[ip]
        if process.poll() is None:
            self.record(f"sends {signal.Signals(number).name} to {ip}")
            process.send_signal(number)

    def put_config(self, config):
        """Send a desired state to the members in turn until one acknowledges it."""
        body = json.dumps(config).encode()
        for ip in self.control_ips:
            status, _, _ = call((ip, self.control_port), "POST", "/config/put", body)
            if status == 200:
                self.record(f"desired state {config['version']} acknowledged by {ip}")
                return True
        return False

    def is_ready(self, ip):
        """Return whether an entry says that it is ready."""
        return call((ip, self.ready_port), "GET", "/ready", timeout_s=1.0)[0] == 200

    def log_of(self, role, ip):
        """Return what a process has written."""
        return (self._folder / f"{role}-{ip}.log").read_text()

    def stop(self):
        """End all processes that the test started."""
        for process in self._processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        self.instances.close()


def rendered(values, path):
    """Return the text for a placeholder of a settings template."""
    value = values
    for name in path.split("."):
        value = value[int(name)] if isinstance(value, list) else value.get(name, "")
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)


def free_ports(ips, count):
    """Return ports that are free at all addresses."""
    found = []
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        if port in found or not all(is_free(ip, port) for ip in ips):
            continue
        found.append(port)
        if len(found) == count:
            return found
    raise CaseError("there are not enough free ports")


def is_free(ip, port):
    """Return whether nothing listens at an address."""
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def route(name, prefix, kind, service, timeout_ms=10_000, **options):
    """Return a route of the desired state."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 1_000,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "sticky_sessions": False,
        "resumable": False,
        "gap_aim_ms": 200,
        **options,
    }


def service(name, max_connections=110):
    """Return a service of the desired state."""
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": max_connections,
        "protocol": "h1",
        "tls": False,
    }


def desired_state(version, routes, services):
    """Return a desired state."""
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def call(address, method, path, body=None, headers=None, timeout_s=15.0):
    """Make one HTTP call over a new connection.

    Returns
    -------
    tuple of (int or None, dict, bytes)
        The status is None if there was no complete answer.
    """
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        data = answer.read()
        return answer.status, {name.lower(): value for name, value in answer.getheaders()}, data
    except (OSError, http.client.HTTPException):
        return None, {}, b""
    finally:
        connection.close()


def request_headers(request_id, left_ms=9_000):
    """Return the headers of a client's request."""
    return {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(left_ms)}


def wait_until(what, check, limit_s=WAIT_S):
    """Poll until a check returns a true value, and return that value."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        value = check()
        if value:
            return value
        time.sleep(0.1)
    raise CaseError(f"not within {limit_s} s: {what}")


def main(case, folder, prefix, **options):
    """Run a case, and exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Parameters
    ----------
    case : callable
        Takes the deployment, the record and whether there is trouble; returns the breaks found.
    folder : pathlib.Path
        Folder of the case.
    prefix : str
        First three octets of the addresses of the case.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"case {folder.name}, trouble {'on' if trouble else 'off'}")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    deployment = None
    status = NOT_RUN
    try:
        deployment = Deployment(temporary, record, prefix, **options)
        breaks = case(deployment, record, trouble)
        for found in breaks:
            record(f"BROKEN: {found}")
        status = BROKEN if breaks else HELD
        record(f"result: {'broken' if breaks else 'held'}")
    except (CaseError, OSError) as error:
        record(f"result: could not run: {error}")
    finally:
        if deployment is not None:
            deployment.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
        record.close()
    print(f"case {folder.name}: exit {status}")
    sys.stdout.flush()
    os._exit(status)
