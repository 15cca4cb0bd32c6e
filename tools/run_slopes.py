"""Measure all capacity slopes and update the table in docs/CAPACITY.md."""

import importlib
import sys
from pathlib import Path

ROOT = Path(__file__).parent
PAGE = ROOT.parent / "docs" / "CAPACITY.md"
BEGIN_MARKER = "<!-- slopes begin -->"
END_MARKER = "<!-- slopes end -->"
HEADER = ["| what | slope | unit | error of the fit | measured |", "|---|---|---|---|---|"]


def measure_all():
    """Yield the slopes of every slope module, in module name order."""
    for path in sorted((ROOT / "slopes").glob("slopes_*.py")):
        yield from importlib.import_module(f"slopes.{path.stem}").measure()


def write_table(lines):
    """Replace the table between the markers in the page.

    Parameters
    ----------
    lines : list of str
    """
    text = PAGE.read_text()
    start = text.index(BEGIN_MARKER) + len(BEGIN_MARKER)
    end = text.index(END_MARKER)
    PAGE.write_text(text[:start] + "\n" + "\n".join(lines) + "\n" + text[end:])


def main():
    """Measure all slopes, print them and write the table."""
    sys.path.insert(0, str(ROOT))
    lines = list(HEADER)
    for slope in measure_all():
        print(slope.row(), flush=True)
        lines.append(slope.row())
    write_table(lines)


if __name__ == "__main__":
    main()
