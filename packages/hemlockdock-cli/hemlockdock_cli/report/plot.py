"""Draw records: the worth of each day over the runs of a site, with the day's marks."""

from hemlockdock_cli.plots import panels

INCHES_WIDE = 9
INCHES_HIGH_A_DAY = 1.8


def draw(records, site, path):
    """Draw the runs of one site into a file.

    Parameters
    ----------
    records : list of ScoreRecord
    site : str
    path : str
        Its suffix says the format.

    Returns
    -------
    int
        How many runs are shown; nothing is written for 0.
    """
    runs = [record for record in records if record.site == site and record.score is not None]
    names = [day.name for day in runs[-1].days if day.high_mark is not None] if runs else []
    if not names:
        return 0
    with panels(path, names, INCHES_WIDE, INCHES_HIGH_A_DAY) as axes_by_day:
        for name, axes in axes_by_day.items():
            _draw_day(axes, runs, name)
        axes_by_day[names[0]].figure.suptitle(f"{site}: worth by day")
        axes_by_day[names[-1]].set_xlabel("run, the oldest first")
    return len(runs)


def _draw_day(axes, runs, name):
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
