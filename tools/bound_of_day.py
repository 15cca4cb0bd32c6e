"""Print how many names a played day left unserved, and how many any schedule of the store leaves.

It reads the log of control members and entries, and is run by hand.
"""

import argparse

from hemlockdock_cli.lab.logged_day import LoggedDay
from hemlockdock_cli.trace import read_log


def main():
    """Print one line for each log file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", help="log files, one for each day")
    for path in parser.parse_args().logs:
        day = LoggedDay(read_log(path))
        print(
            f"{path}: {len(day.counted)} names, never served {day.never_served()}, "
            f"least with all known {day.least_never_served(True)}, "
            f"with leaving hosts known as listed {day.least_never_served(False)}"
        )


if __name__ == "__main__":
    main()
