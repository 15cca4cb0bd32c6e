"""Show that each deliberate fault is caught by the test that is named for it."""

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


def all_mutants(wanted):
    """Yield the mutants of each list.

    Parameters
    ----------
    wanted : list of str
        Names of lists; empty for all.
    """
    for path in sorted((ROOT / "mutants").glob("*.py")):
        if path.stem in ("__init__", "mutant"):
            continue
        if wanted and path.stem not in wanted:
            continue
        module = importlib.import_module(f"mutants.{path.stem}")
        yield from module.MUTANTS


def verdict(mutant):
    """Run a mutant's test in a copy of the packages that has the fault.

    Parameters
    ----------
    mutant : Mutant

    Returns
    -------
    str
        ``caught``, ``SURVIVED`` or ``STALE`` where the text to replace is not there once.
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
        return "SURVIVED" if passes(tree, mutant.test) else "caught"


def passes(tree, test):
    """Tell whether a test passes in a tree.

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
    path_of_tree = os.pathsep.join([*packages, str(folder)])
    # A fault only has to be noticed, so a failing example is not made smaller.
    environment = {**os.environ, "PYTHONPATH": path_of_tree, "FUZZ_SHRINK": "0"}
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
    """Judge the mutants of the lists named on the command line, or of all lists."""
    sys.path.insert(0, str(ROOT))
    mutants = list(all_mutants(sys.argv[1:]))
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        verdicts = list(pool.map(verdict, mutants))
    for mutant, found in zip(mutants, verdicts, strict=True):
        print(f"{found:9} {mutant.file}: {mutant.name}")
    caught = verdicts.count("caught")
    print(f"{caught} of {len(mutants)} caught")
    sys.exit(0 if caught == len(mutants) else 1)


if __name__ == "__main__":
    main()
