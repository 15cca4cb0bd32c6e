"""Commands of the ``hemlockdock`` command line."""

import sys
from pathlib import Path

from hemlockdock_cli.admin_client import AdminClient
from hemlockdock_cli.check import Check
from hemlockdock_cli.command_error import CommandError
from hemlockdock_cli.exit_codes import ExitCode
from hemlockdock_cli.lab import plot_waits, result_lines, run_experiment
from hemlockdock_cli.members import Members
from hemlockdock_cli.report import plot_scores, read_records, report_lines
from hemlockdock_cli.show import show
from hemlockdock_cli.trace import trace_lines
from hemlockdock_control.storage.errors import StorageError
from hemlockdock_control.storage.recovery import recover_single_member
from hemlockdock_core.manifest import Manifest


class Commands:
    """Submit manifests to hemlockdock and query its state.

    Parameters
    ----------
    admin : str, optional
        Comma-separated ``ip:port`` of control members.
    token : str, optional
        Authentication token of the operator.
    """

    def __init__(self, admin=None, token=None):
        self._client = AdminClient(admin, token)
        self.check = Check()
        self.members = Members(self._client)

    def submit(self, file, json=False):
        """Submit a manifest and show which nodes have applied it.

        Parameters
        ----------
        file : str
        json : bool, optional
        """
        self.check.parse(file)
        print("submitting ...", file=sys.stderr)
        body = Path(file).read_bytes()
        show(self._client.call("POST", "/v1/manifest", body), json)

    def status(self, json=False):
        """Show hosts, replicas, loads, queues, quarantines and nodes that lag behind.

        Parameters
        ----------
        json : bool, optional
        """
        show(self._client.call("GET", "/v1/status"), json)

    def trace(self, request_id, *files):
        """Show the events and the outcome of one request, from the logs of any processes.

        Parameters
        ----------
        request_id : str
        *files : str
        """
        try:
            lines = trace_lines(str(request_id), files)
        except OSError as error:
            raise CommandError(ExitCode.BAD_INPUT, str(error)) from error
        for line in lines:
            print(line)

    def report(self, *journals, reader="hemlockdock_cli.report.own", plot=None, site=None):
        """Show the scores of recorded runs by version.

        Parameters
        ----------
        *journals : str
            Files, or folders of files.
        reader : str, optional
            Module that decodes the journals.
        plot : str, optional
            Output file for a plot of one site's days.
        site : str, optional
            Show only this site; a plot defaults to the site of the latest run.
        """
        records = read_records(journals, reader)
        if site is not None:
            records = [record for record in records if record.site == site]
        if not records:
            raise CommandError(ExitCode.BAD_INPUT, "the journals have no score")
        for line in report_lines(records):
            print(line)
        if plot is not None:
            run_count = plot_scores(records, site or records[-1].site, plot)
            print(f"{plot}: {run_count} runs")

    def lab(
        self,
        scenario="consultora",
        policies="rates,lru,static",
        seeds=3,
        seconds=34.0,
        plot=None,
    ):
        """Compare placement policies on the same workloads, simulated in virtual time.

        Parameters
        ----------
        scenario : str, optional
            ``consultora``, ``qalam``, ``losses`` or ``grown``.
        policies : str, optional
            Comma-separated: ``rates`` is the policy of control; ``lru`` and ``static`` are
            baselines; a ``.py`` file defines the ``ModelChoice`` of another version.
        seeds : int, optional
            Number of workloads to generate, with seeds from 1 on.
        seconds : float, optional
            Duration of each workload.
        plot : str, optional
            Output file for a plot of the wait times.
        """
        names = policies if isinstance(policies, tuple | list) else str(policies).split(",")
        try:
            rows = run_experiment(scenario, list(names), list(range(1, seeds + 1)), float(seconds))
        except KeyError as error:
            raise CommandError(ExitCode.BAD_INPUT, f"unknown name {error}") from error
        for line in result_lines(rows):
            print(line)
        if plot is not None:
            plot_waits(rows, plot)

    def audit(self, since_ms=None, kind=None, subject=None, json=False):
        """Show the audit log.

        Parameters
        ----------
        since_ms : int, optional
            Unix time in milliseconds.
        kind : str, optional
        subject : str, optional
        json : bool, optional
        """
        filters = {"since_ms": since_ms, "kind": kind, "subject": subject}
        params = {name: str(value) for name, value in filters.items() if value is not None}
        show(self._client.call("GET", "/v1/audit", params=params), json)

    def explain(self, model, json=False):
        """Explain why a model is placed where it is, or why it is not placed.

        Parameters
        ----------
        model : str
        json : bool, optional
        """
        show(self._client.call("GET", f"/v1/explain/{model}"), json)

    def jobs(self, json=False):
        """Show the stored jobs.

        Parameters
        ----------
        json : bool, optional
        """
        show(self._client.call("GET", "/v1/jobs"), json)

    def quarantines(self, json=False):
        """Show the requests and parts of prompts that crashed endpoints or may have.

        Parameters
        ----------
        json : bool, optional
        """
        show(self._client.call("GET", "/v1/quarantines"), json)

    def limits(self, json=False):
        """Show the requests per second that endpoints take, and those that the leader permitted.

        Parameters
        ----------
        json : bool, optional
        """
        show(self._client.call("GET", "/v1/limits"), json)

    def release(self, fingerprint, json=False):
        """Release a quarantined request or part of prompts so that it may run again.

        Parameters
        ----------
        fingerprint : str
            As ``quarantines`` shows it; a part begins with ``part:``.
        json : bool, optional
        """
        path = f"/v1/quarantines/{fingerprint}/release"
        show(self._client.call("POST", path, b""), json)

    def recover(self, settings, confirm=False):
        """Make a stopped member the only one, after the loss of a majority.

        Rewrites the data folder of that member; data that only the lost members held is lost.

        Parameters
        ----------
        settings : str
            Settings file of the member.
        confirm : bool, optional
            Required; without it the command changes nothing.
        """
        checked = self.check.parse_settings(settings)
        if not confirm:
            raise CommandError(ExitCode.BAD_INPUT, "read the page on control, then add --confirm")
        try:
            index = recover_single_member(checked)
        except StorageError as error:
            raise CommandError(ExitCode.REFUSED, str(error)) from None
        print(f"{checked.process.node_id} is the only member; last entry {index}")

    def schema(self):
        """Print the JSON Schema of the manifest."""
        show(Manifest.model_json_schema(), True)

    def demo(self, serve=False):
        """Run an end-to-end demo in one process, with stand-ins, over real HTTP.

        Parameters
        ----------
        serve : bool, optional
            Keep the cluster running after the demo.
        """
        from hemlockdock_cli.demo import run_demo

        if not run_demo(serve):
            raise CommandError(ExitCode.FAILED, "a demo step did not give the expected result")
