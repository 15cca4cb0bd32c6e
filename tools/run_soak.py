"""Run the soak test over several seeds and save the logs of each failed seed."""

import sys
from pathlib import Path

import fire

ROOT = Path(__file__).parent
LOG_FOLDER = Path("build/soak")


def main(seeds=5, first=1, seconds=12.0, controls=3, entries=2, agents=2):
    """Run seeds one after the other; exit with 1 if any fails.

    Parameters
    ----------
    seeds : int, optional
        Number of seeds.
    first : int, optional
        First seed.
    seconds : float, optional
        Period of each run in which faults start.
    controls : int, optional
        Number of control members; those beyond three wait for a place.
    entries, agents : int, optional
        Number of processes of each role, 40 at most.
    """
    sys.path.insert(0, str(ROOT))
    from soak.run import SoakRun

    failed = []
    for seed in range(first, first + seeds):
        try:
            result = SoakRun(seed, seconds, entries, agents, controls).run()
        except AssertionError as error:
            print(f"seed {seed}: {str(error).splitlines()[0]}", flush=True)
            failed.append(seed)
            folder = _folder(seed)
            (folder / "error.txt").write_text(str(error))
            continue
        print(
            f"seed {seed}: {len(result.faults)} faults, {result.served} of {result.requests} "
            f"requests served, {result.resumed} resumed, {result.changes} changes, "
            f"{len(result.breaches)} breaches",
            flush=True,
        )
        if result.breaches:
            failed.append(seed)
            _keep(result)
    if failed:
        print(f"soak failed for seeds {failed}; logs in {LOG_FOLDER}", file=sys.stderr)
        sys.exit(1)


def _keep(result):
    folder = _folder(result.seed)
    for breach in result.breaches:
        print(f"  {breach.rule}: {breach.detail}", flush=True)
    for fault in result.faults:
        print(f"  {fault}", flush=True)
    for name, text in result.logs.items():
        (folder / name).write_text(text)


def _folder(seed):
    folder = LOG_FOLDER / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    return folder


if __name__ == "__main__":
    fire.Fire(main)
