"""Draw figures with several panels into a file."""

from contextlib import contextmanager


@contextmanager
def stacked_panels(path, names, width_inches, panel_height_inches):
    """Yield one panel for each name, stacked vertically; save the figure on exit.

    Parameters
    ----------
    path : str
        The suffix selects the file format.
    names : list of str
    width_inches, panel_height_inches : float

    Yields
    ------
    dict of str to matplotlib.axes.Axes
        Panel by name.
    """
    # Imported here because only commands that plot need it and the import takes a second.
    from matplotlib import pyplot

    size = (width_inches, panel_height_inches * len(names))
    figure, axes = pyplot.subplots(len(names), sharex=True, squeeze=False, figsize=size)
    yield dict(zip(names, axes[:, 0], strict=True))
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
