"""Run the fault soak over seeds; keep the logs of each seed that broke a promise."""

import sys
from pathlib import Path

import fire

ROOT = Path(__file__).parent
KEPT = Path("build/soak")


def main(seeds=5, first=1, seconds=12.0):
    """Run seeds one after the other.

    Parameters
    ----------
    seeds : int, optional
        How many.
    first : int, optional
        The first one.
    seconds : float, optional
        For how long faults begin, in each.
    """
    sys.path.insert(0, str(ROOT))
    from soak.run import SoakRun

    failed = []
    for seed in range(first, first + seeds):
        try:
            result = SoakRun(seed, seconds).run()
        except AssertionError as error:
            print(f"seed {seed}: {str(error).splitlines()[0]}", flush=True)
            failed.append(seed)
            folder = _folder(seed)
            (folder / "error.txt").write_text(str(error))
            continue
        print(
            f"seed {seed}: {len(result.faults)} faults, {result.served} of {result.requests} "
            f"requests served, {result.changes} changes, {len(result.breaches)} breaches",
            flush=True,
        )
        if result.breaches:
            failed.append(seed)
            _keep(result)
    if failed:
        print(f"broken promises with seeds {failed}; logs in {KEPT}", file=sys.stderr)
        sys.exit(1)


def _keep(result):
    folder = _folder(result.seed)
    for breach in result.breaches:
        print(f"  {breach.rule}: {breach.what}", flush=True)
    for fault in result.faults:
        print(f"  {fault}", flush=True)
    for name, text in result.logs.items():
        (folder / name).write_text(text)


def _folder(seed):
    folder = KEPT / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    return folder


if __name__ == "__main__":
    fire.Fire(main)
