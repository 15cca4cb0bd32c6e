"""Plot how long clients waited under each policy."""

from hemlockdock_cli.plots import stacked_panels

WIDTH_INCHES = 8
CLASS_HEIGHT_INCHES = 2.6


def plot_waits(rows, path):
    """Plot the distribution of waits of each request class into a file.

    Parameters
    ----------
    rows : list of ExperimentRow
    path : str
        The suffix selects the file format.
    """
    classes = list(dict.fromkeys(row.traffic for row in rows))
    with stacked_panels(path, classes, WIDTH_INCHES, CLASS_HEIGHT_INCHES) as axes_by_class:
        for row in rows:
            # Refused requests were never served, so the curve ends below 100 percent.
            served = (row.in_time + row.late) / 100.0
            waits = [wait_s for _, wait_s in row.wait_s_by_percent]
            percents = [percent * served for percent, _ in row.wait_s_by_percent]
            axes_by_class[row.traffic].plot(waits, percents, label=row.policy)
        for traffic, axes in axes_by_class.items():
            axes.set_ylabel(f"{traffic}, % served")
            axes.set_xscale("log")
        axes_by_class[classes[0]].legend()
        axes_by_class[classes[-1]].set_xlabel("wait for the first event, s")
