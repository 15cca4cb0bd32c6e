"""What an entry does with the notices of the other entries on crashes."""

import logging
from functools import singledispatch

from hemlockdock_core.messages import CrashNotice, SoundNotice

logger = logging.getLogger(__name__)


@singledispatch
def handle_notice(notice, sender, crashes):
    """Count what another entry saw.

    Parameters
    ----------
    notice : CrashNotice or SoundNotice
    sender : str
        Node id of the entry.
    crashes : object
        Provides ``record_told_crash(endpoint_id, parts_by_fingerprint, sender)`` and
        ``record_told_sound(key)``.
    """
    raise TypeError(f"expected a notice of an entry, got {type(notice).__name__}")


@handle_notice.register
def _(notice: CrashNotice, sender, crashes):
    logger.info(
        "endpoint crashed at another entry",
        extra={
            "endpoint": notice.endpoint_id,
            "entry": sender,
            "suspects": notice.parts_by_fingerprint,
        },
    )
    crashes.record_told_crash(notice.endpoint_id, notice.parts_by_fingerprint, sender)


@handle_notice.register
def _(notice: SoundNotice, sender, crashes):
    for key in notice.keys:
        crashes.record_told_sound(key)
