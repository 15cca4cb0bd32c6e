"""Plot the worth of each day over the runs of a site, with the low and high marks of the day."""

from hemlockdock_cli.plots import stacked_panels

WIDTH_INCHES = 9
DAY_HEIGHT_INCHES = 1.8


def plot_scores(records, site, path):
    """Plot the runs of one site into a file.

    Parameters
    ----------
    records : list of ScoreRecord
    site : str
    path : str
        The suffix selects the file format.

    Returns
    -------
    int
        Number of runs plotted; no file is written if it is 0.
    """
    runs = [record for record in records if record.site == site and record.score is not None]
    day_names = [day.name for day in runs[-1].days if day.high_mark is not None] if runs else []
    if not day_names:
        return 0
    with stacked_panels(path, day_names, WIDTH_INCHES, DAY_HEIGHT_INCHES) as axes_by_day:
        for name, axes in axes_by_day.items():
            _plot_day(axes, runs, name)
        axes_by_day[day_names[0]].figure.suptitle(f"{site}: worth by day")
        axes_by_day[day_names[-1]].set_xlabel("run, the oldest first")
    return len(runs)


def _plot_day(axes, runs, name):
    positions, worths = [], []
    for position, record in enumerate(runs):
        for day in record.days:
            if day.name != name:
                continue
            positions.append(position)
            worths.append(day.worth)
            marks = day.low_mark, day.high_mark
    axes.plot(positions, worths, marker="o")
    for mark in marks:
        axes.axhline(mark, linestyle="--", linewidth=0.8)
    axes.set_ylabel(name)
