"""Logging as JSON lines that never blocks on a slow reader.

Lines are buffered in memory and written when the stream accepts them. If the buffer is full, or the
limit of lines per second is reached, routine lines are dropped first, and a line reports how many.
"""

import atexit
import logging
import select
import sys
import time
from collections import deque

from pythonjsonlogger.json import JsonFormatter

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "logger"}
# Lines in the buffer; at about 300 bytes each they take well under a megabyte.
MAX_BUFFERED_LINES = 2_000
# Limit of lines about successful outcomes.
MAX_ROUTINE_LINES_PER_S = 400
# A write of at most PIPE_BUF bytes never blocks on a pipe that is ready for writing.
MAX_WRITE_BYTES = select.PIPE_BUF
SUCCESSFUL_OUTCOMES = ("answered", "accepted", "reported", "done")
DROPPED_LINES_MESSAGE = "lines left out"


class BoundedHandler(logging.Handler):
    """A log handler that buffers a limited number of lines until the stream accepts them.

    Parameters
    ----------
    stream : file
        With ``write``, ``flush`` and ``fileno``.
    clock : callable, optional
        Returns seconds.
    """

    def __init__(self, stream, clock=time.monotonic):
        super().__init__()
        self._stream = stream
        self._clock = clock
        self._lines = deque()
        self._second = 0
        self._routine_count = 0
        self._dropped_count = 0

    def emit(self, record):
        """Format and buffer a record, or drop it if a limit is reached.

        Parameters
        ----------
        record : logging.LogRecord
        """
        important = is_important(record)
        if not important and not self._allows_routine():
            self._dropped_count += 1
            return
        if len(self._lines) >= MAX_BUFFERED_LINES and not self._drop_oldest_routine(important):
            self._dropped_count += 1
            return
        try:
            self._lines.append((important, self.format(record)))
        except Exception:
            # A record that can't be formatted must not abort the operation that logs it.
            self.handleError(record)

    def flush(self):
        """Write buffered lines for as long as the stream accepts them."""
        self._report_dropped()
        while self._lines and self._is_writable():
            self._stream.write(self._next_chunk())
            self._stream.flush()

    def _allows_routine(self):
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._routine_count = 0
        self._routine_count += 1
        return self._routine_count <= MAX_ROUTINE_LINES_PER_S

    def _drop_oldest_routine(self, important):
        if not important:
            return False
        for position, (is_kept, _) in enumerate(self._lines):
            if not is_kept:
                del self._lines[position]
                self._dropped_count += 1
                return True
        return False

    def _report_dropped(self):
        if not self._dropped_count or len(self._lines) >= MAX_BUFFERED_LINES:
            return
        count, self._dropped_count = self._dropped_count, 0
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, DROPPED_LINES_MESSAGE, None, None
        )
        record.count = count
        self._lines.append((True, self.format(record)))

    def _is_writable(self):
        try:
            descriptor = self._stream.fileno()
        except (OSError, ValueError):
            # An in-memory stream has no descriptor and accepts everything.
            return True
        return bool(select.select([], [descriptor], [], 0)[1])

    def _next_chunk(self):
        chunk = self._lines.popleft()[1] + "\n"
        while self._lines and len(chunk) + len(self._lines[0][1]) < MAX_WRITE_BYTES:
            chunk += self._lines.popleft()[1] + "\n"
        return chunk


def is_important(record):
    """Tell whether a record reports a failure or a change of state.

    Other records are dropped first.

    Parameters
    ----------
    record : logging.LogRecord

    Returns
    -------
    bool
    """
    if record.levelno >= logging.WARNING:
        return True
    outcome = getattr(record, "outcome", None)
    return outcome is not None and outcome not in SUCCESSFUL_OUTCOMES


def configure_logs(level, stream=None):
    """Send the package's logs to a stream as JSON lines.

    Parameters
    ----------
    level : str
        ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    stream : file, optional
        Standard output by default.

    Returns
    -------
    BoundedHandler
        Its ``flush`` has to be called periodically.
    """
    handler = BoundedHandler(stream or sys.stdout)
    handler.setFormatter(JsonFormatter(FORMAT, rename_fields=RENAMED_FIELDS))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    atexit.register(handler.flush)
    return handler
