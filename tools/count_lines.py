"""Print the number of code and test lines of each package."""

from pathlib import Path


def code_lines(paths):
    """Count the lines that are neither blank nor comments.

    Parameters
    ----------
    paths : iterable of pathlib.Path

    Returns
    -------
    int
    """
    total = 0
    for path in paths:
        for line in path.read_text().splitlines():
            stripped = line.strip()
            if stripped and not stripped.startswith("#"):
                total += 1
    return total


def main():
    """Print a row per package, then the totals and the share of test lines."""
    code_total = 0
    test_total = 0
    for root in sorted(Path("packages").iterdir()):
        tests = code_lines((root / "tests").rglob("*.py"))
        code = code_lines(root.rglob("*.py")) - tests
        code_total += code
        test_total += tests
        print(f"{root.name:24} code {code:6}  tests {tests:6}")
    share = test_total / max(code_total + test_total, 1)
    print(f"{'all':24} code {code_total:6}  tests {test_total:6}  tests' share {share:.0%}")


if __name__ == "__main__":
    main()
