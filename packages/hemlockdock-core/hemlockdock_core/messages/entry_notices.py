"""Messages by which the entries of a fleet tell each other what endpoints crash on."""

from typing import ClassVar

from hemlockdock_core.messages.message import Message


class EntryList(Message, frozen=True):
    """The other entries of the fleet. Sent by the leader to an entry when they have changed.

    Attributes
    ----------
    addresses : list of str
        Addresses of their mailboxes.
    """

    expects_answer: ClassVar[bool] = False

    addresses: list[str]


class CrashNotice(Message, frozen=True):
    """The crash of an endpoint. Sent by the entry that saw it to the others.

    Attributes
    ----------
    endpoint_id : str
    parts_by_fingerprint : dict of str to tuple of str
        The requests that may explain it, each with the suspected parts of its prompt.
    """

    endpoint_id: str
    parts_by_fingerprint: dict[str, tuple[str, ...]]


class SoundNotice(Message, frozen=True):
    """Suspects that an endpoint has answered. Sent by the entry that saw it to the others.

    Attributes
    ----------
    keys : list of str
        See `suspect_keys`.
    """

    keys: list[str]
