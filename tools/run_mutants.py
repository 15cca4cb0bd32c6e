"""Mutation testing: check that each mutant is caught by the test listed for it."""

import importlib
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent
REPOSITORY = ROOT.parent
TEST_TIMEOUT_S = 300
PARALLEL_RUNS = 8


def load_mutants(list_names):
    """Yield the mutants of the selected lists.

    Parameters
    ----------
    list_names : list of str
        Module names of mutant lists; empty for all lists.
    """
    for path in sorted((ROOT / "mutants").glob("*.py")):
        if path.stem in ("__init__", "mutant"):
            continue
        if list_names and path.stem not in list_names:
            continue
        module = importlib.import_module(f"mutants.{path.stem}")
        yield from module.MUTANTS


def run_mutant(mutant):
    """Run a mutant's test in a copy of packages and tools with the mutation applied.

    Parameters
    ----------
    mutant : Mutant

    Returns
    -------
    str
        ``caught``, ``SURVIVED``, or ``STALE`` if the text to replace doesn't occur exactly once.
    """
    with tempfile.TemporaryDirectory(prefix="hemlockdock-mutant-") as folder:
        tree = Path(folder)
        shutil.copytree(REPOSITORY / "packages", tree / "packages")
        shutil.copytree(REPOSITORY / "tools", tree / "tools")
        target = tree / mutant.file
        text = target.read_text() if target.exists() else ""
        if text.count(mutant.before) != 1:
            return "STALE"
        target.write_text(text.replace(mutant.before, mutant.after))
        return "SURVIVED" if passes_test(tree, mutant.test) else "caught"


def passes_test(tree, test):
    """Return whether a test passes in a tree; a timeout counts as a failure.

    Parameters
    ----------
    tree : pathlib.Path
    test : str

    Returns
    -------
    bool
    """
    path, _, class_name = test.partition("::")
    folder = tree / Path(path).parent
    packages = [str(package) for package in (tree / "packages").iterdir()]
    python_path = os.pathsep.join([*packages, str(folder)])
    # One failing example is enough to catch a mutant, so shrinking it is disabled.
    environment = {**os.environ, "PYTHONPATH": python_path, "FUZZ_SHRINK": "0"}
    name = Path(path).stem + (f".{class_name}" if class_name else "")
    command = [sys.executable, "-W", "ignore", "-m", "unittest", "-f", name]
    try:
        result = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return False
    return result.returncode == 0


def main():
    """Run the mutants of the lists named on the command line, or of all lists."""
    sys.path.insert(0, str(ROOT))
    mutants = list(load_mutants(sys.argv[1:]))
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        outcomes = list(pool.map(run_mutant, mutants))
    for mutant, outcome in zip(mutants, outcomes, strict=True):
        print(f"{outcome:9} {mutant.file}: {mutant.name}")
    caught = outcomes.count("caught")
    print(f"{caught} of {len(mutants)} caught")
    sys.exit(0 if caught == len(mutants) else 1)


if __name__ == "__main__":
    main()
