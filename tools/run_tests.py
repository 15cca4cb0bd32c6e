"""Run the tests of each package in a separate process and print the totals."""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

PARALLEL_RUNS = 4
# A fixed hash seed makes the iteration order of string sets the same in every run.
HASH_SEED = os.environ.get("FUZZ_SEED", "0")
RAN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
BAD = re.compile(r"(?:failures|errors|unexpected successes)=(\d+)")
ALONE = Path("tools/tests_processes")
KNOWN_RED = Path("KNOWN-RED.txt")


def run_folder(folder):
    """Run unittest discovery in one folder.

    Parameters
    ----------
    folder : pathlib.Path

    Returns
    -------
    subprocess.CompletedProcess
    """
    command = [sys.executable, "-W", "ignore", "-m", "unittest", "discover", "-s", str(folder)]
    environment = {**os.environ, "PYTHONHASHSEED": HASH_SEED}
    return subprocess.run(command, capture_output=True, text=True, check=False, env=environment)


def closing_lines(output):
    """Return unittest's summary lines, or the whole output if there is no summary.

    Parameters
    ----------
    output : str

    Returns
    -------
    str
    """
    position = output.rfind("Ran ")
    return output[position:].strip() if position >= 0 else output.strip()


def main():
    """Run the tests of all folders and print the totals; exit with 1 on any failure."""
    folders = sorted(p for p in Path("packages").glob("*/tests") if any(p.glob("test_*.py")))
    folders += [p for p in [Path("platform/tests"), Path("tools/tests")] if p.is_dir()]
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        results = list(pool.map(run_folder, folders))
    # These measure the memory of processes under load, so they run by themselves.
    folders.append(ALONE)
    results.append(run_folder(ALONE))
    ran = 0
    failed = 0
    broken = False
    for folder, result in zip(folders, results, strict=True):
        output = result.stderr + result.stdout
        counts = RAN.search(output)
        ran += int(counts.group(1)) if counts else 0
        if result.returncode != 0:
            broken = True
            failed += sum(int(n) for n in BAD.findall(output)) or 1
            print(output)
        print(f"{folder}: {closing_lines(output)}")
    if KNOWN_RED.exists():
        print(KNOWN_RED.read_text())
    print(f"{max(ran - failed, 0)} passed, {failed} failed")
    sys.exit(1 if broken or ran == 0 else 0)


if __name__ == "__main__":
    main()
