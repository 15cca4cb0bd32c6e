"""Run every benchmark, write build/bench.jsonl and fail past a bound."""

import importlib
import sys
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


def main():
    """Run the benchmarks named on the command line, or all of them."""
    sys.path.insert(0, str(ROOT))
    arguments = sys.argv[1:]
    virtual_only = "--virtual" in arguments
    wanted = [item for item in arguments if not item.startswith("--")]
    OUTPUT.parent.mkdir(exist_ok=True)
    broken = []
    with OUTPUT.open("w") as output:
        for module in modules(wanted, virtual_only):
            for figure in module.measure():
                print(figure.line(), file=output, flush=True)
                print(figure.line(), flush=True)
                if not figure.holds:
                    broken.append(figure.name)
    if broken:
        print(f"past their bounds: {', '.join(broken)}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
