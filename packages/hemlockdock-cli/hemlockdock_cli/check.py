"""Validate input files without a running deployment."""

from pathlib import Path

from hemlockdock_cli.command_error import CommandError
from hemlockdock_cli.exit_codes import ExitCode
from hemlockdock_cli.findings import show_findings
from hemlockdock_control.admin.limited_site import MAX_BODY_BYTES
from hemlockdock_core.errors import InvalidInputError
from hemlockdock_core.manifest import manifest_digest, parse_manifest
from hemlockdock_core.routes import Finding, FindingLevel, parse_routes, review_routes
from hemlockdock_core.settings import load_settings
from hemlockdock_core.wire import find_wire

OWN_WIRE = "hemlockdock_core.wire.own"


class Check:
    """Validate input files without a running deployment."""

    def settings(self, file):
        """Validate a settings file and list every error.

        Parameters
        ----------
        file : str
        """
        checked = self.parse_settings(file)
        print(f"{file}: settings of {checked.process.node_id} are valid")

    def parse_settings(self, file):
        """Read a settings file and return the validated settings.

        Parameters
        ----------
        file : str

        Returns
        -------
        Settings

        Raises
        ------
        CommandError
        """
        try:
            return load_settings(file)
        except InvalidInputError as error:
            raise CommandError(ExitCode.BAD_INPUT, _problem_lines(error)) from None

    def manifest(self, file):
        """Validate a manifest and list every invalid field.

        Parameters
        ----------
        file : str
        """
        manifest = self.parse(file)
        print(f"{file}: manifest {manifest.number} is valid, digest {manifest_digest(manifest)}")

    def routes(self, file, wire=OWN_WIRE, against=None, json=False):
        """Check the routes, pools and limits of a fleet, as control will, and list doubts.

        Keys and their digests are not printed.

        Parameters
        ----------
        file : str
        wire : str, optional
            Module of the wire adapter that decodes the files.
        against : str, optional
            File with the manifest in force; lists what differs, and what it does to callers.
        json : bool, optional
            Print one JSON object a line for each finding.
        """
        try:
            adapter = find_wire(wire)
        except ImportError as error:
            raise CommandError(ExitCode.BAD_INPUT, f"wire {wire}: {error}") from None
        in_force = None
        if against is not None:
            in_force = _parse_file(against, lambda data: parse_routes(adapter, data, str(against)))
        data = _read_file(file)
        manifest, findings = review_routes(adapter, data, str(file), in_force)
        if len(data) > MAX_BODY_BYTES:
            message = f"at most {MAX_BODY_BYTES} bytes, got {len(data)}"
            findings.append(Finding(FindingLevel.ERROR, "(text)", message))
        show_findings(str(file), manifest, findings, json)

    def parse(self, file):
        """Read a manifest file and return the validated manifest.

        Parameters
        ----------
        file : str

        Returns
        -------
        Manifest

        Raises
        ------
        CommandError
        """
        return _parse_file(file, lambda data: parse_manifest(data, str(file)))


def _parse_file(file, parse):
    """Parse the content of a file; the error has one line for each problem."""
    data = _read_file(file)
    try:
        return parse(data)
    except InvalidInputError as error:
        raise CommandError(ExitCode.BAD_INPUT, _problem_lines(error)) from None


def _read_file(file):
    try:
        return Path(file).read_bytes()
    except OSError as error:
        raise CommandError(ExitCode.BAD_INPUT, f"{file}: {error.strerror}") from None


def _problem_lines(error):
    return "\n".join(str(problem) for problem in error.errors)
