"""Run every process of a sample deployment on loopback."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from http_client import HttpClient

SAMPLES_FOLDER = Path(__file__).parent
WAIT_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.1


class LocalRun:
    """Runs the processes of a sample deployment, and stops only those it started.

    Parameters
    ----------
    deployment : Deployment
    folder : pathlib.Path
        Folder for the data and logs of the processes.

    Attributes
    ----------
    process_by_id : dict of str to subprocess.Popen
    sample_folder : pathlib.Path
    """

    KILL = signal.SIGKILL

    def __init__(self, deployment, folder):
        self._deployment = deployment
        self.sample_folder = SAMPLES_FOLDER / deployment.name
        self._folder = folder
        self.process_by_id = {}

    def start(self):
        """Start the stand-ins, wait until they answer, then start every node."""
        command = [sys.executable, str(SAMPLES_FOLDER / "run_standins.py"), self._deployment.name]
        self._spawn("stand-ins", command)
        self._wait("stand-ins", lambda: self.stand_ins().get("/ledger").status == 200)
        for role, count in self._deployment.counts:
            for index in range(count):
                self.start_node(f"{role}-{index + 1}")

    def wait_ready(self):
        """Wait until every entry reports that it is ready."""
        for port in self._deployment.entry_ports:
            client = HttpClient(port, "acceptance")
            self._wait(f"entry at {port}", lambda c=client: c.get("/readyz").status == 200)

    def start_node(self, node_id):
        """Start the hemlockdock process of one node.

        Parameters
        ----------
        node_id : str
        """
        data = self._folder / "data" / self._deployment.name / node_id
        data.mkdir(parents=True, exist_ok=True)
        settings = (SAMPLES_FOLDER / self._deployment.name / f"{node_id}.ini").resolve()
        self._spawn(node_id, [sys.executable, "-m", "hemlockdock_daemon", "--settings", settings])

    def stop_node(self, node_id, signal_number=signal.SIGTERM):
        """Send a signal to the process of one node and wait for it to exit.

        Parameters
        ----------
        node_id : str
        signal_number : signal.Signals, optional

        Returns
        -------
        int
            Exit code.
        """
        process = self.process_by_id.pop(node_id)
        process.send_signal(signal_number)
        return process.wait(WAIT_TIMEOUT_S)

    def stop(self):
        """Kill every process that is still running."""
        for process in self.process_by_id.values():
            process.kill()
        for process in self.process_by_id.values():
            process.wait()
        self.process_by_id.clear()

    def stand_ins(self):
        """Return a client for the HTTP interface of the stand-ins."""
        return HttpClient(self._deployment.platform_port + 1, "acceptance")

    def ledger(self):
        """Return the stand-ins' ledger as a dict."""
        return self.stand_ins().get("/ledger").json()

    def _spawn(self, name, command):
        log = (self._folder / f"{name}.log").open("ab")
        packages = [str(path.resolve()) for path in (SAMPLES_FOLDER.parent / "packages").iterdir()]
        environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join([*packages, str(SAMPLES_FOLDER)]),
        }
        self.process_by_id[name] = subprocess.Popen(
            [str(part) for part in command],
            cwd=self._folder,
            env=environment,
            stdout=log,
            stderr=log,
        )

    def _wait(self, description, check):
        wait_until(description, check, WAIT_TIMEOUT_S)


def wait_until(description, check, timeout_s):
    """Poll until a check holds.

    Parameters
    ----------
    description : str
    check : callable
        An ``OSError``, such as a refused connection, counts as false.
    timeout_s : float

    Raises
    ------
    TimeoutError
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{description}: timed out after {timeout_s} s")
