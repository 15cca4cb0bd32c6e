"""Number the starts of a process."""

import os
from pathlib import Path

FILE_NAME = "incarnation"


def next_incarnation(folder, wall_ms, floor=0):
    """Return an incarnation number above those of all earlier starts.

    Without a data folder, the number depends on the wall clock alone. If the clock is set back
    between two starts, control refuses the second one until the clock has caught up.

    Parameters
    ----------
    folder : str
        Data folder, or an empty string for none.
    wall_ms : int
    floor : int, optional
        Latest incarnation number of this process.

    Returns
    -------
    int
    """
    number = max(wall_ms, floor + 1)
    if not folder:
        return number
    path = Path(folder) / FILE_NAME
    if path.exists():
        number = max(number, int(path.read_text()) + 1)
    _write_synced(path, str(number))
    return number


def _write_synced(path, text):
    partial = path.with_suffix(".partial")
    with open(partial, "w") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    os.replace(partial, path)
    descriptor = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
