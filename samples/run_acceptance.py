"""Walk the acceptance list of each sample deployment, end to end, in separate processes."""

import sys
import tempfile
import time
import traceback
from pathlib import Path

from consultora import ConsultoraList
from deployment import CONSULTORA, QALAM
from local_run import LocalRun
from qalam import QalamList

LIST_BY_NAME = {CONSULTORA.name: ConsultoraList, QALAM.name: QalamList}


def walk(deployment):
    """Run one deployment and check every item of its list.

    Parameters
    ----------
    deployment : Deployment

    Returns
    -------
    tuple of (int, int)
        Items that passed and items that failed.
    """
    passed = 0
    failed = 0
    with tempfile.TemporaryDirectory(prefix="hemlockdock-") as folder:
        run = LocalRun(deployment, Path(folder))
        try:
            run.start()
            acceptance = LIST_BY_NAME[deployment.name](deployment, run)
            for name, check in acceptance.items():
                started = time.monotonic()
                problem = problem_of(check)
                took = time.monotonic() - started
                word = "FAILED" if problem else "ok"
                print(f"{deployment.name:14} {word:6} {took:6.1f} s  {name}", flush=True)
                if problem:
                    print(problem, flush=True)
                failed += bool(problem)
                passed += not problem
        finally:
            run.stop()
            if failed and "--keep-logs" in sys.argv:
                for log in sorted(Path(folder).glob("*.log")):
                    target = Path("build") / "logs" / deployment.name
                    target.mkdir(parents=True, exist_ok=True)
                    (target / log.name).write_bytes(log.read_bytes())
    return passed, failed


def problem_of(check):
    """Run a check and return what went wrong, empty for nothing.

    Parameters
    ----------
    check : callable

    Returns
    -------
    str
    """
    try:
        check()
    except Exception:
        return traceback.format_exc()
    return ""


def main():
    """Walk the lists of the deployments named on the command line, or of both."""
    names = [item for item in sys.argv[1:] if not item.startswith("--")]
    total_passed = 0
    total_failed = 0
    for deployment in (CONSULTORA, QALAM):
        if names and deployment.name not in names:
            continue
        passed, failed = walk(deployment)
        total_passed += passed
        total_failed += failed
    print(f"{total_passed} passed, {total_failed} failed")
    sys.exit(1 if total_failed or not total_passed else 0)


if __name__ == "__main__":
    main()
