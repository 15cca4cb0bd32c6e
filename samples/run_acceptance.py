"""Run the acceptance checks of each sample deployment end to end, in separate processes."""

import sys
import tempfile
import time
import traceback
from pathlib import Path

from consultora import ConsultoraChecks
from deployment import CONSULTORA, QALAM
from local_run import LocalRun
from qalam import QalamChecks

CHECKS_BY_NAME = {CONSULTORA.name: ConsultoraChecks, QALAM.name: QalamChecks}


def run_deployment(deployment):
    """Start one deployment and run its acceptance checks.

    Parameters
    ----------
    deployment : Deployment

    Returns
    -------
    tuple of (int, int)
        Number of checks that passed and that failed.
    """
    passed = 0
    failed = 0
    with tempfile.TemporaryDirectory(prefix="hemlockdock-") as folder:
        run = LocalRun(deployment, Path(folder))
        try:
            run.start()
            acceptance = CHECKS_BY_NAME[deployment.name](deployment, run)
            for name, check in acceptance.items():
                started = time.monotonic()
                problem = run_check(check)
                took_s = time.monotonic() - started
                status = "FAILED" if problem else "ok"
                print(f"{deployment.name:14} {status:6} {took_s:6.1f} s  {name}", flush=True)
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


def run_check(check):
    """Run a check and return the traceback of its failure, or an empty string.

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
    """Run the checks of the deployments named on the command line, or of both."""
    names = [item for item in sys.argv[1:] if not item.startswith("--")]
    total_passed = 0
    total_failed = 0
    for deployment in (CONSULTORA, QALAM):
        if names and deployment.name not in names:
            continue
        passed, failed = run_deployment(deployment)
        total_passed += passed
        total_failed += failed
    print(f"{total_passed} passed, {total_failed} failed")
    sys.exit(1 if total_failed or not total_passed else 0)


if __name__ == "__main__":
    main()
