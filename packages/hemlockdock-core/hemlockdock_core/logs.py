"""Write one JSON object a line for each change of state."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "logger"}


def configure_logs(level, stream=None):
    """Send the package's logs to a stream as JSON lines.

    Parameters
    ----------
    level : str
        ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    stream : file, optional
        Standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(FORMAT, rename_fields=RENAMED_FIELDS))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
