"""Draw records: the worth of each day over the runs of a site, with the day's marks."""

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
    # Only this command needs it, and it takes a second to load.
    from matplotlib import pyplot

    runs = [record for record in records if record.site == site and record.score is not None]
    names = [day.name for day in runs[-1].days if day.high_mark is not None] if runs else []
    if not names:
        return 0
    size = (INCHES_WIDE, INCHES_HIGH_A_DAY * len(names))
    figure, panels = pyplot.subplots(len(names), sharex=True, squeeze=False, figsize=size)
    for name, axes in zip(names, panels[:, 0], strict=True):
        _draw_day(axes, runs, name)
    panels[-1, 0].set_xlabel("run, the oldest first")
    figure.suptitle(f"{site}: worth by day")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
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
