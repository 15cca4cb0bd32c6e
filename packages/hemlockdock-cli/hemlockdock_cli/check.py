"""Check input files without a running system."""

from pathlib import Path

from hemlockdock_cli.command_error import CommandError
from hemlockdock_cli.exit_codes import ExitCode
from hemlockdock_core.errors import InvalidInputError
from hemlockdock_core.manifest import manifest_digest, parse_manifest
from hemlockdock_core.routes import read_routes
from hemlockdock_core.settings import load_settings
from hemlockdock_core.wire import find_wire

OWN_WIRE = "hemlockdock_core.wire.own"


class Check:
    """Check input files without a running system."""

    def settings(self, file):
        """Check a settings file and name every problem.

        Parameters
        ----------
        file : str
        """
        checked = self.parse_settings(file)
        print(f"{file}: settings of {checked.process.node_id} are valid")

    def parse_settings(self, file):
        """Return validated settings.

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
            raise CommandError(ExitCode.BAD_INPUT, _lines(error)) from None

    def manifest(self, file):
        """Check a manifest and name every bad field.

        Parameters
        ----------
        file : str
        """
        manifest = self.parse(file)
        print(f"{file}: manifest {manifest.number} is valid, digest {manifest_digest(manifest)}")

    def routes(self, file, wire=OWN_WIRE):
        """Check routes, pools and limits of a fleet, and name every bad field.

        Parameters
        ----------
        file : str
        wire : str, optional
            Module of the adapter whose form the file has.
        """
        try:
            adapter = find_wire(wire)
        except ImportError as error:
            raise CommandError(ExitCode.BAD_INPUT, f"wire {wire}: {error}") from None
        manifest = _read(file, lambda data: read_routes(adapter, data, str(file)))
        routes, pools = len(manifest.routes), len(manifest.pools)
        print(f"{file}: number {manifest.number} is valid, {routes} routes, {pools} pools")

    def parse(self, file):
        """Return a validated manifest.

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
        return _read(file, lambda data: parse_manifest(data, str(file)))


def _read(file, parse):
    """Return what a file's bytes are parsed to; every problem is a line of the error."""
    try:
        return parse(Path(file).read_bytes())
    except OSError as error:
        raise CommandError(ExitCode.BAD_INPUT, f"{file}: {error.strerror}") from None
    except InvalidInputError as error:
        raise CommandError(ExitCode.BAD_INPUT, _lines(error)) from None


def _lines(error):
    return "\n".join(str(problem) for problem in error.errors)
