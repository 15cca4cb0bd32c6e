"""Draw how long clients waited under each policy."""

from hemlockdock_cli.plots import panels

INCHES_WIDE = 8
INCHES_HIGH_A_CLASS = 2.6


def draw_waits(rows, path):
    """Draw the waits of each class into a file.

    Parameters
    ----------
    rows : list of LabRow
    path : str
        Its suffix says the format.
    """
    classes = list(dict.fromkeys(row.traffic for row in rows))
    with panels(path, classes, INCHES_WIDE, INCHES_HIGH_A_CLASS) as axes_by_class:
        for row in rows:
            # What was refused was never served: the line ends below 100 percent.
            served = (row.in_time + row.late) / 100.0
            waits = [wait_s for _, wait_s in row.wait_s_by_percent]
            percents = [percent * served for percent, _ in row.wait_s_by_percent]
            axes_by_class[row.traffic].plot(waits, percents, label=row.policy)
        for traffic, axes in axes_by_class.items():
            axes.set_ylabel(f"{traffic}, % served")
            axes.set_xscale("log")
        axes_by_class[classes[0]].legend()
        axes_by_class[classes[-1]].set_xlabel("wait for the first event, s")
