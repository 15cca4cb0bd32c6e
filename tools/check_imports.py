"""Check that packages respect the import layers and use no names of a platform's protocol."""

import ast
import re
import sys
from pathlib import Path

ALLOWED_BY_PACKAGE = {
    "core": set(),
    "standins": {"core"},
    "agent": {"core"},
    "control": {"core"},
    "entry": {"core"},
    "daemon": {"core", "standins", "agent", "control", "entry"},
    "cli": {"core", "standins", "agent", "control", "entry", "daemon"},
}
PREFIX = "hemlockdock_"
ADAPTER = Path("platform")
# Names in the platform's wire protocol that hemlockdock's own interface defined first, or that are
# common to all programs of this kind.
ORDINARY_NAMES = {
    "adapter_mb",
    "adapter_slots",
    "header_timeout_ms",
    "idle_timeout_ms",
    "in_memory",
    "last-event-id",
    "load_s",
    "loads_per_s",
    "max_body_bytes",
    "max_connections",
    "on_disk",
    "rate_per_s",
    "timeout_ms",
    "weights_mb",
    "x-deadline-ms",
    "x-request-id",
}
HEADER = re.compile(r"^[a-z]+(-[a-z]+)+$")


def imported_modules(path):
    """Return the names of the modules that a source file imports.

    Parameters
    ----------
    path : pathlib.Path

    Returns
    -------
    list of str
    """
    names = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.extend(alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.append(node.module)
    return names


def violations(package, allowed):
    """Yield one line for each import of a package outside the allowed layers.

    Parameters
    ----------
    package : str
    allowed : set of str
    """
    root = Path("packages") / f"hemlockdock-{package}" / f"{PREFIX}{package}"
    for path in sorted(root.rglob("*.py")):
        for name in imported_modules(path):
            if not name.startswith(PREFIX):
                continue
            target = name.split(".")[0].removeprefix(PREFIX)
            if target == package or target in allowed:
                continue
            yield f"{path}: {package} must not import {name}"


def wire_names():
    """Return the wire names that only the platform adapter may use: fields and headers.

    Returns
    -------
    set of str
    """
    names = set()
    for path in ADAPTER.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef) and node.name.startswith("Wire"):
                names.update(_field_names(node))
            if isinstance(node, ast.Constant):
                names.update(_literal_names(node.value))
    return names - ORDINARY_NAMES


def _field_names(node):
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign) and "_" in statement.target.id:
            yield statement.target.id


def _literal_names(value):
    text = value.decode("latin-1") if isinstance(value, bytes) else value
    if isinstance(text, str) and HEADER.match(text):
        yield text


def leaked_names(names):
    """Yield one line for each use of a platform wire name in a package.

    Parameters
    ----------
    names : set of str
    """
    pattern = re.compile(r"(?<![\w-])(" + "|".join(map(re.escape, sorted(names))) + r")(?![\w-])")
    for path in sorted(Path("packages").rglob("*.py")):
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            for name in pattern.findall(line.lower()):
                yield f"{path}:{number}: {name} is a name of the platform's wire"


def main():
    """Print every violation; exit with 1 if there is any."""
    found = list(leaked_names(wire_names()))
    for package, allowed in ALLOWED_BY_PACKAGE.items():
        found.extend(violations(package, allowed))
    for line in found:
        print(line)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
