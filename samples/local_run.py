"""Run every process of a sample deployment on loopback."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from http_caller import HttpCaller

HERE = Path(__file__).parent
WAIT_S = 30
POLL_S = 0.1


class LocalRun:
    """Run every process of a sample deployment, and end only these.

    Parameters
    ----------
    deployment : Deployment
    folder : pathlib.Path
        Where the processes keep data and logs.

    Attributes
    ----------
    process_by_id : dict of str to subprocess.Popen
    sample_folder : pathlib.Path
    """

    KILL = signal.SIGKILL

    def __init__(self, deployment, folder):
        self._deployment = deployment
        self.sample_folder = HERE / deployment.name
        self._folder = folder
        self.process_by_id = {}

    def start(self):
        """Start the stand-ins, then every process, and wait until entries are ready."""
        command = [sys.executable, str(HERE / "run_standins.py"), self._deployment.name]
        self._spawn("stand-ins", command)
        self._wait("stand-ins", lambda: self.stand_ins().get("/ledger").status == 200)
        for role, count in self._deployment.counts:
            for index in range(count):
                self.start_node(f"{role}-{index + 1}")

    def wait_ready(self):
        """Wait until every entry says that it is ready."""
        for port in self._deployment.entry_ports:
            caller = HttpCaller(port, "acceptance")
            self._wait(f"entry at {port}", lambda c=caller: c.get("/readyz").status == 200)

    def start_node(self, node_id):
        """Start one process of hemlockdock.

        Parameters
        ----------
        node_id : str
        """
        data = self._folder / "data" / self._deployment.name / node_id
        data.mkdir(parents=True, exist_ok=True)
        settings = (HERE / self._deployment.name / f"{node_id}.ini").resolve()
        self._spawn(node_id, [sys.executable, "-m", "hemlockdock_daemon", "--settings", settings])

    def end_node(self, node_id, number=signal.SIGTERM):
        """Send a signal to one process, and wait for its end unless it is only paused.

        Parameters
        ----------
        node_id : str
        number : signal.Signals, optional

        Returns
        -------
        int
            Exit code.
        """
        process = self.process_by_id.pop(node_id)
        process.send_signal(number)
        return process.wait(WAIT_S)

    def stop(self):
        """End every process that is left."""
        for process in self.process_by_id.values():
            process.kill()
        for process in self.process_by_id.values():
            process.wait()
        self.process_by_id.clear()

    def stand_ins(self):
        """Return a caller of the stand-ins' report."""
        return HttpCaller(self._deployment.platform_port + 1, "acceptance")

    def ledger(self):
        """Return what the stand-ins saw, as a dict."""
        return self.stand_ins().get("/ledger").json()

    def _spawn(self, name, command):
        log = (self._folder / f"{name}.log").open("ab")
        packages = [str(path.resolve()) for path in (HERE.parent / "packages").iterdir()]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join([*packages, str(HERE)])}
        self.process_by_id[name] = subprocess.Popen(
            [str(part) for part in command],
            cwd=self._folder,
            env=environment,
            stdout=log,
            stderr=log,
        )

    def _wait(self, what, check):
        wait_until(what, check, WAIT_S)


def wait_until(what, check, limit_s):
    """Wait until a check holds.

    Parameters
    ----------
    what : str
    check : callable
        Connection errors count as false.
    limit_s : float

    Raises
    ------
    TimeoutError
    """
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(POLL_S)
    raise TimeoutError(f"{what}: not within {limit_s} s")
