"""Review of a route manifest before it is submitted."""

from hemlockdock_core.errors import InvalidInputError
from hemlockdock_core.routes.changes import manifest_changes
from hemlockdock_core.routes.check import parse_routes
from hemlockdock_core.routes.doubts import route_warnings
from hemlockdock_core.routes.finding import Finding, FindingLevel


def review_routes(wire, data, source, in_force=None):
    """Return all findings about the route manifest that an operator is about to submit.

    Parameters
    ----------
    wire : Wire
        Platform adapter that defines the format of the data.
    data : bytes
    source : str
        Name of the input.
    in_force : RouteManifest, optional
        Manifest with which it is compared.

    Returns
    -------
    tuple of (RouteManifest or None, list of Finding)
        No manifest if control would refuse the data; then all findings are errors.
    """
    try:
        manifest = parse_routes(wire, data, source)
    except InvalidInputError as error:
        return None, [
            Finding(FindingLevel.ERROR, problem.path, problem.expected) for problem in error.errors
        ]
    findings = route_warnings(manifest)
    if in_force is not None:
        findings.extend(manifest_changes(in_force, manifest))
    return manifest, findings
