"""Print the findings about a route manifest."""

import json

from hemlockdock_cli.command_error import CommandError
from hemlockdock_cli.exit_codes import ExitCode
from hemlockdock_core.routes import FindingLevel


def show_findings(source, manifest, findings, as_json):
    """Print findings, and end the command with their exit code.

    Errors of the text form go to standard error.

    Parameters
    ----------
    source : str
        Name of the input.
    manifest : RouteManifest or None
        None if control would refuse the input.
    findings : list of Finding
    as_json : bool
        Whether to print a JSON object a line.

    Raises
    ------
    CommandError
        If there are errors or warnings.
    """
    errors = [finding for finding in findings if finding.level is FindingLevel.ERROR]
    warnings = [finding for finding in findings if finding.level is FindingLevel.WARNING]
    if as_json:
        for finding in findings:
            print(_json_line(finding))
    else:
        for finding in findings:
            if finding.level is not FindingLevel.ERROR:
                print(f"{source}: {finding}")
    if errors:
        lines = [f"{source}: {finding.path}: {finding.message}" for finding in errors]
        text = f"{source}: errors: {len(errors)}" if as_json else "\n".join(lines)
        raise CommandError(ExitCode.BAD_INPUT, text)
    if not as_json:
        routes, pools = len(manifest.routes), len(manifest.pools)
        print(f"{source}: number {manifest.number} is valid, {routes} routes, {pools} pools")
    if warnings:
        raise CommandError(ExitCode.WARNINGS, f"{source}: warnings: {len(warnings)}")


def _json_line(finding):
    return json.dumps(
        {"level": finding.level.value, "path": finding.path, "message": finding.message}
    )
