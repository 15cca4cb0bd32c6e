"""Draw how long clients waited under each policy."""

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
    # Only this command needs it, and it takes a second to load.
    from matplotlib import pyplot

    classes = list(dict.fromkeys(row.traffic for row in rows))
    size = (INCHES_WIDE, INCHES_HIGH_A_CLASS * len(classes))
    figure, panels = pyplot.subplots(len(classes), sharex=True, squeeze=False, figsize=size)
    for traffic, axes in zip(classes, panels[:, 0], strict=True):
        for row in rows:
            if row.traffic != traffic:
                continue
            # What was refused was never served: the line ends below 100 percent.
            served = (row.in_time + row.late) / 100.0
            waits = [wait_s for _, wait_s in row.wait_s_by_percent]
            axes.plot(waits, [p * served for p, _ in row.wait_s_by_percent], label=row.policy)
        axes.set_ylabel(f"{traffic}, % served")
        axes.set_xscale("log")
    panels[0, 0].legend()
    panels[-1, 0].set_xlabel("wait for the first event, s")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
