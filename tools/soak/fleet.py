"""Start, signal and stop the real processes of a small fleet on loopback."""

import http.client
import os
import signal
import subprocess
import sys
import time

from hemlockdock_core.wire.own import WIRE
from hemlockdock_standins.fleet.engine import FAILURE_PATH
from soak.http_calls import CALL_TIMEOUT_S, OK, exchange
from soak.manifests import manifest
from soak.plan import (
    ADMIN_PORT,
    DIRECTORY_PORT,
    ENGINE_PORT,
    HTTP_PORT,
    NODE_PORT,
    PEER_PORT,
    PROXIED_NODE_PORT,
    PROXIED_PEER_PORT,
    PROXY_PORT,
    READY_PORT,
    SERVICE_PORT,
)

# Of control members, as at most one is harmed at a time.
TOLERATED_LOSSES = 1
WAIT_S = 60
POLL_S = 0.1
ROUTES_PATH = WIRE.operator_paths.submit.decode()
STANDINS = "standins"
# Exit codes of processes that ended as they were asked to, or were killed.
ASKED_EXIT_CODES = (None, 0, -signal.SIGTERM, -signal.SIGKILL)


class LocalFleet:
    """Runs the processes of one fleet.

    Parameters
    ----------
    plan : FleetPlan
    folder : pathlib.Path
        Holds settings, logs and the control members' data.

    Attributes
    ----------
    process_by_name : dict of str to subprocess.Popen
        Latest process of each name; a name is an address or ``standins``.
    """

    def __init__(self, plan, folder):
        self.plan = plan
        self.process_by_name = {}
        self._folder = folder
        self._role_by_name = {}
        self._is_first_by_name = {}
        self._turned_names = set()
        self._processes = []

    @property
    def own_ends(self):
        """Return the exit codes of the processes that ended by themselves."""
        codes = [process.poll() for process in self._processes]
        return [code for code in codes if code not in ASKED_EXIT_CODES]

    def start(self):
        """Start the stand-ins, then every node."""
        plan = self.plan
        engines = [f"{ip}:{ENGINE_PORT}" for ip in plan.agent_ips]
        services = [f"{ip}:{SERVICE_PORT}" for ip in plan.service_ips]
        arguments = [
            f"--directory={plan.directory_ip}:{DIRECTORY_PORT}",
            f"--engines={','.join(engines)}",
            f"--services={','.join(services)}",
            f"--versions={' '.join(plan.versions)}",
        ]
        if plan.uses_proxies:
            arguments.append(f"--listed_port={PROXY_PORT}")
        self._start_process(STANDINS, "hemlockdock_standins.fleet", *arguments)
        for role, ips in self._ips_by_role().items():
            for ip in ips:
                self._role_by_name[ip] = role
                self.restart(ip)

    def restart(self, name, is_first=True):
        """Write a node's settings and start its process.

        Parameters
        ----------
        name : str
        is_first : bool, optional
            Value of the ``first_start`` setting: whether the whole fleet is being bootstrapped.
        """
        self._is_first_by_name[name] = is_first
        path = self._write_settings(name)
        self._start_process(name, "hemlockdock_daemon", f"--settings={path}")

    def reload(self, name):
        """Change a node's settings, which name the same seeds in another order, and say so."""
        self._turned_names ^= {name}
        self._write_settings(name)
        self.signal(name, signal.SIGHUP)

    def set_failure(self, ip, status):
        """Let an engine or service fail runs with a status; an empty one ends that."""
        port = SERVICE_PORT if ip in self.plan.service_ips else ENGINE_PORT
        self.call(ip, port, "POST", FAILURE_PATH, status.encode())

    def wipe(self, name):
        """Delete all files in a member's data folder."""
        for path in self._data_folder(name).iterdir():
            path.unlink()

    def kill(self, name):
        """Kill a process and wait for it to exit."""
        process = self.process_by_name[name]
        if process.poll() is None:
            process.kill()
        process.wait()

    def signal(self, name, number):
        """Send a signal to a process, unless it has exited."""
        process = self.process_by_name[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill_all(self):
        """Kill every process that this fleet started."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def call(self, ip, port, method, path, body=None, headers=None):
        """Make one HTTP call over a new connection.

        Returns
        -------
        Response
        """
        connection = http.client.HTTPConnection(ip, port, timeout=CALL_TIMEOUT_S)
        try:
            return exchange(connection, method, path, body, headers)
        finally:
            connection.close()

    def submit(self, number, ip, **options):
        """Submit a route manifest, with options of ``manifest``, to one member.

        Returns
        -------
        int or None
            HTTP status, None if no complete response arrived.
        """
        text = WIRE.encode_routes(manifest(number, **options))
        return self.call(ip, ADMIN_PORT, "POST", ROUTES_PATH, text).status

    def submit_anywhere(self, number, **options):
        """Return whether any member acknowledges a route manifest."""
        return any(self.submit(number, ip, **options) == OK for ip in self.plan.control_ips)

    def read_routes(self, ip):
        """Return the encoded routes read from one member, or None if the read fails."""
        response = self.call(ip, ADMIN_PORT, "GET", ROUTES_PATH)
        return response.body if response.status == OK else None

    def wait_until(self, description, check):
        """Poll until a check returns a true value, and return that value.

        The limit is generous, so that a busy host doesn't fail the run.

        Raises
        ------
        AssertionError
            If the check doesn't hold in time; the message contains the tail of each log.
        """
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end:
            result = check()
            if result:
                return result
            time.sleep(POLL_S)
        logs = "".join(path.read_text()[-2_000:] for path in self._folder.glob("*.log"))
        raise AssertionError(f"{description} within {WAIT_S} s\n{logs}")

    def _ips_by_role(self):
        plan = self.plan
        return {"control": plan.control_ips, "entry": plan.entry_ips, "agent": plan.agent_ips}

    def _data_folder(self, name):
        return self._folder / f"data-{name}"

    def _write_settings(self, name):
        role = self._role_by_name[name]
        path = self._folder / f"{role}-{name}.ini"
        partial = path.with_suffix(".new")
        partial.write_text(self._settings(role, name))
        partial.replace(path)
        return path

    def _settings(self, role, ip):
        data = self._data_folder(ip)
        data.mkdir(exist_ok=True)
        plan = self.plan
        seeds = [f"{seed}:{ADMIN_PORT}" for seed in plan.control_ips[:3]]
        if ip in self._turned_names:
            seeds.reverse()
        is_first = self._is_first_by_name[ip]
        node_port = PROXIED_NODE_PORT if plan.proxies_links else NODE_PORT
        peer_port = PROXIED_PEER_PORT if plan.proxies_links else PEER_PORT
        lines = [
            "[process]",
            f"node_id = {role}-{ip}",
            f"roles = {role}",
            f"host = {ip}",
            "failure_domain = domain-a",
            f"data_folder = {data if role == 'control' else ''}",
            "[listen]",
            f"links = tcp://{ip}:{node_port}",
            f"advertised_links = tcp://{ip}:{NODE_PORT}",
            f"peers = tcp://{ip}:{peer_port}",
            f"http = {ip}:{HTTP_PORT}",
            f"admin = {ip}:{ADMIN_PORT}",
            f"ready = {ip}:{READY_PORT}",
            "[fleet]",
            f"seeds = {','.join(seeds)}",
            f"first_start = {str(is_first).lower()}",
            f"tolerated_losses = {TOLERATED_LOSSES}",
            f"node_port = {NODE_PORT}",
            f"peer_port = {PEER_PORT}",
            f"directory = {plan.directory_ip}:{DIRECTORY_PORT}",
            f"engine = {plan.listed_address(ip, ENGINE_PORT)}",
            "pool = lm",
        ]
        return "\n".join(lines) + "\n"

    def _start_process(self, name, module, *arguments):
        with (self._folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                env={**os.environ},
            )
        self.process_by_name[name] = process
        self._processes.append(process)
