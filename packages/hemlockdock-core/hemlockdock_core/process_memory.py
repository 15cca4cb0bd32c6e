"""Memory that the process may use, and how much of it the C library retains."""

import ctypes
import os
import resource
from pathlib import Path

BYTES_PER_MB = 1_024 * 1_024
# Parameter of mallopt in malloc.h.
M_MMAP_THRESHOLD = -3
# The GNU library's initial value. If it isn't set, the library raises it to as much as 32 MB, and
# growing buffers then leave gaps in the heap.
MMAP_THRESHOLD_BYTES = 128 * 1_024
CGROUP_LIMITS = ("/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes")


def usable_memory_bytes(settings):
    """Return the memory that the process may use, in bytes.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    int
        The setting ``[process] memory_mb``, else the lowest limit of the operating system.
    """
    if settings.process.memory_mb:
        return int(settings.process.memory_mb * BYTES_PER_MB)
    limits = [os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")]
    for kind in (resource.RLIMIT_AS, resource.RLIMIT_DATA):
        soft, _ = resource.getrlimit(kind)
        if soft != resource.RLIM_INFINITY:
            limits.append(soft)
    limits.extend(filter(None, map(_cgroup_limit, CGROUP_LIMITS)))
    return min(limits)


def _cgroup_limit(path):
    try:
        text = Path(path).read_text().strip()
    except OSError:
        return 0
    return int(text) if text.isdigit() else 0


def limit_heap_retention():
    """Make the C library map long buffers separately, so that they are returned when freed.

    Returns
    -------
    bool
        Whether it succeeded; only the GNU library has the parameter.
    """
    try:
        return ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES) == 1
    except (OSError, AttributeError):
        return False
