"""Draw plots of several panels into a file."""

from contextlib import contextmanager


@contextmanager
def panels(path, names, inches_wide, inches_high_each):
    """Give one panel for each name, one below the other; write the file at the end.

    Parameters
    ----------
    path : str
        Its suffix says the format.
    names : list of str
    inches_wide, inches_high_each : float

    Yields
    ------
    dict of str to matplotlib.axes.Axes
        By name.
    """
    # Only commands that plot need it, and it takes a second to load.
    from matplotlib import pyplot

    size = (inches_wide, inches_high_each * len(names))
    figure, rows = pyplot.subplots(len(names), sharex=True, squeeze=False, figsize=size)
    yield dict(zip(names, rows[:, 0], strict=True))
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
