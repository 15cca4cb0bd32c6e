"""Measure every slope and write the table of docs/CAPACITY.md."""

import importlib
import sys
from pathlib import Path

ROOT = Path(__file__).parent
PAGE = ROOT.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- slopes begin -->"
END = "<!-- slopes end -->"
HEAD = ["| what | slope | unit | error of the fit | measured |", "|---|---|---|---|---|"]


def all_slopes():
    """Yield the slopes of every module, in the order of their names."""
    for path in sorted((ROOT / "slopes").glob("slopes_*.py")):
        yield from importlib.import_module(f"slopes.{path.stem}").measure()


def write_table(lines):
    """Replace the table in the page.

    Parameters
    ----------
    lines : list of str
    """
    text = PAGE.read_text()
    start = text.index(BEGIN) + len(BEGIN)
    end = text.index(END)
    PAGE.write_text(text[:start] + "\n" + "\n".join(lines) + "\n" + text[end:])


def main():
    """Measure, print and write."""
    sys.path.insert(0, str(ROOT))
    lines = list(HEAD)
    for slope in all_slopes():
        print(slope.row(), flush=True)
        lines.append(slope.row())
    write_table(lines)


if __name__ == "__main__":
    main()
