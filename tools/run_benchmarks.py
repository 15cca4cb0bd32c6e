"""Run every benchmark, write build/bench.jsonl and fail past a bound."""

import importlib
import sys
import traceback
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parent
OUTPUT = Path("build/bench.jsonl")


def modules(wanted, virtual_only):
    """Yield the benchmark modules in the order of their names.

    Parameters
    ----------
    wanted : list of str
        Parts of module names; empty for all.
    virtual_only : bool
        Whether to leave out those that measure real time.
    """
    for path in sorted((ROOT / "benchmarks").glob("bench_*.py")):
        if wanted and not any(part in path.stem for part in wanted):
            continue
        module = importlib.import_module(f"benchmarks.{path.stem}")
        if virtual_only and not getattr(module, "VIRTUAL_TIME", False):
            continue
        yield module


@dataclass(slots=True)
class Outcome:
    """Hold what went wrong.

    Attributes
    ----------
    past_bound : list of str
        Figures.
    failed : list of str
        Benchmarks that ended by an error.
    """

    past_bound: list = field(default_factory=list)
    failed: list = field(default_factory=list)


def run(benchmarks, output):
    """Run benchmarks one after the other; an error in one doesn't hide the others.

    Parameters
    ----------
    benchmarks : iterable of module
        With ``measure()``, which yields figures.
    output : file
        Gets one line for each figure.

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
            # Whatever a benchmark ends by, it is reported, and the next one is run.
            traceback.print_exc()
            outcome.failed.append(module.__name__)
    return outcome


def main():
    """Run the benchmarks named on the command line, or all of them."""
    sys.path.insert(0, str(ROOT))
    arguments = sys.argv[1:]
    virtual_only = "--virtual" in arguments
    wanted = [item for item in arguments if not item.startswith("--")]
    OUTPUT.parent.mkdir(exist_ok=True)
    with OUTPUT.open("w") as output:
        outcome = run(modules(wanted, virtual_only), output)
    if outcome.past_bound:
        print(f"past their bounds: {', '.join(outcome.past_bound)}", file=sys.stderr)
    if outcome.failed:
        print(f"ended by an error: {', '.join(outcome.failed)}", file=sys.stderr)
    if outcome.past_bound or outcome.failed:
        sys.exit(1)


if __name__ == "__main__":
    main()
