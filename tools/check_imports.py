"""Check that packages import only packages below them."""

import ast
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
    """Yield one line for each import that points upward.

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


def main():
    """Print each violation; exit with 1 if there is one."""
    found = []
    for package, allowed in ALLOWED_BY_PACKAGE.items():
        found.extend(violations(package, allowed))
    for line in found:
        print(line)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
