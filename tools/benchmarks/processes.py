"""Run hemlockdock processes for benchmarks in real time."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

from hemlockdock_cli.demo.ports import LOOPBACK, free_ports

ROOT = Path(__file__).resolve().parent.parent.parent
START_LIMIT_S = 30
CALL_LIMIT_S = 5
POLL_S = 0.02
CLUSTER = "benchmark"


class Processes:
    """Control members, entries and agents that run as processes on loopback.

    Parameters
    ----------
    folder : pathlib.Path
    members : int
        Number of control members.

    Attributes
    ----------
    process_by_id : dict of str to subprocess.Popen
    admin_port_by_id : dict of str to int
    """

    def __init__(self, folder, members):
        self._folder = folder
        self._ports = iter(free_ports(3 * members + 8))
        self._member_ids = [f"control-{index + 1}" for index in range(members)]
        addresses = [
            f"{item}@{self._link_address()}@{self._link_address()}" for item in self._member_ids
        ]
        self._members_setting = ", ".join(addresses)
        self.admin_port_by_id = {item: next(self._ports) for item in self._member_ids}
        self.process_by_id = {}

    def start_members(self):
        """Start all control members and wait until one leads."""
        for member_id, port in self.admin_port_by_id.items():
            self.start_member(member_id, port)
        self.wait(lambda: self.leader() is not None)

    def start_member(self, member_id, port):
        """Start one control member.

        Parameters
        ----------
        member_id : str
        port : int
        """
        data = self._folder / member_id
        data.mkdir(exist_ok=True)
        more_settings = {"listen": {"admin": f"{LOOPBACK}:{port}"}}
        self._start(member_id, "control", more_settings, f"data_folder = {data}")

    def start_node(self, node_id, role, more_settings=None):
        """Start an entry or an agent.

        Parameters
        ----------
        node_id, role : str
        more_settings : dict of str to dict, optional
            Additional settings by section.
        """
        self._start(node_id, role, more_settings or {}, "")

    def send_signal(self, node_id, number):
        """Send a signal to one process; after SIGKILL, wait until it has exited.

        Parameters
        ----------
        node_id : str
        number : signal.Signals
        """
        self.process_by_id[node_id].send_signal(number)
        if number == signal.SIGKILL:
            self.process_by_id.pop(node_id).wait()

    def stop(self):
        """Kill the processes that this object started."""
        for process in self.process_by_id.values():
            process.kill()
        for process in self.process_by_id.values():
            process.wait()

    def call(self, member_id, method, path, body=None):
        """Send a request to a member's administration API.

        Parameters
        ----------
        member_id, method, path : str
        body : bytes, optional

        Returns
        -------
        dict or None
            The answer, or None if the member refused or did not answer.
        """
        url = f"http://{LOOPBACK}:{self.admin_port_by_id[member_id]}{path}"
        request = urllib.request.Request(url, data=body, method=method)
        try:
            with urllib.request.urlopen(request, timeout=CALL_LIMIT_S) as response:
                return json.loads(response.read())
        except (OSError, urllib.error.URLError, ValueError):
            return None

    def leader(self):
        """Return the id of the leader, or None."""
        for member_id in self.admin_port_by_id:
            if member_id not in self.process_by_id:
                continue
            status = self.call(member_id, "GET", "/v1/status")
            if status and status["leads"]:
                return member_id
        return None

    def wait(self, condition, limit_s=START_LIMIT_S):
        """Wait until a condition is true.

        Parameters
        ----------
        condition : callable
        limit_s : float, optional

        Returns
        -------
        float
            Time waited, in seconds.

        Raises
        ------
        TimeoutError
        """
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > limit_s:
                raise TimeoutError(f"the condition was not true within {limit_s} s")
            time.sleep(POLL_S)
        return time.monotonic() - started

    def _link_address(self):
        return f"tcp://{LOOPBACK}:{next(self._ports)}"

    def _start(self, node_id, role, more_settings, process_setting):
        lines = ["[process]", f"node_id = {node_id}", f"roles = {role}"]
        lines += [f"host = host-{node_id}", "failure_domain = domain-1", process_setting]
        lines += ["[control]", f"cluster = {CLUSTER}", f"members = {self._members_setting}"]
        for section, values in more_settings.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        path = self._folder / f"{node_id}.ini"
        path.write_text("\n".join(lines) + "\n")
        packages = [str(item) for item in (ROOT / "packages").iterdir()]
        with (self._folder / f"{node_id}.log").open("ab") as log:
            self.process_by_id[node_id] = subprocess.Popen(
                [sys.executable, "-m", "hemlockdock_daemon", "--settings", str(path)],
                env={**os.environ, "PYTHONPATH": os.pathsep.join(packages)},
                stdout=log,
                stderr=log,
            )
