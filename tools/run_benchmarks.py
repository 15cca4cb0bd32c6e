"""Run benchmarks, write build/bench.jsonl and fail if a figure is out of bounds."""

import importlib
import sys
import traceback
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parent
OUTPUT = Path("build/bench.jsonl")


def load_modules(name_filters, virtual_only):
    """Import and yield the benchmark modules in name order.

    Parameters
    ----------
    name_filters : list of str
        Substrings of module names; empty for all modules.
    virtual_only : bool
        Whether to skip benchmarks that measure real time.
    """
    for path in sorted((ROOT / "benchmarks").glob("bench_*.py")):
        if name_filters and not any(part in path.stem for part in name_filters):
            continue
        module = importlib.import_module(f"benchmarks.{path.stem}")
        if virtual_only and not getattr(module, "VIRTUAL_TIME", False):
            continue
        yield module


@dataclass(slots=True)
class Outcome:
    """Failures of a benchmark run.

    Attributes
    ----------
    past_bound : list of str
        Names of the figures out of bounds.
    failed : list of str
        Names of the benchmarks that raised an exception.
    """

    past_bound: list = field(default_factory=list)
    failed: list = field(default_factory=list)


def run(benchmarks, output):
    """Run benchmarks one after the other; an exception in one doesn't stop the others.

    Parameters
    ----------
    benchmarks : iterable of module
        Modules whose ``measure()`` yields figures.
    output : file
        Receives one line per figure.

    Returns
    -------
    Outcome
    """
    outcome = Outcome()
    for module in benchmarks:
        try:
            for figure in module.measure():
                print(figure.line(), file=output, flush=True)
                print(figure.line(), flush=True)
                if not figure.holds:
                    outcome.past_bound.append(figure.name)
        except Exception:
            # Any exception is reported as a failure, and the next benchmark runs.
            traceback.print_exc()
            outcome.failed.append(module.__name__)
    return outcome


def main():
    """Run the benchmarks named on the command line, or all of them."""
    sys.path.insert(0, str(ROOT))
    arguments = sys.argv[1:]
    virtual_only = "--virtual" in arguments
    name_filters = [item for item in arguments if not item.startswith("--")]
    OUTPUT.parent.mkdir(exist_ok=True)
    with OUTPUT.open("w") as output:
        outcome = run(load_modules(name_filters, virtual_only), output)
    if outcome.past_bound:
        print(f"out of bounds: {', '.join(outcome.past_bound)}", file=sys.stderr)
    if outcome.failed:
        print(f"failed with an exception: {', '.join(outcome.failed)}", file=sys.stderr)
    if outcome.past_bound or outcome.failed:
        sys.exit(1)


if __name__ == "__main__":
    main()
