"""Values that parts of the state had until lately."""

import msgspec

from hemlockdock_core.stream_origins import MAX_KEEP_MS

# The clocks of two leaders may differ.
RETENTION_MS = 2 * MAX_KEEP_MS


class FormerValue(msgspec.Struct, array_like=True, frozen=True):
    """A value that a subject no longer has.

    Attributes
    ----------
    subject, value : str
    until_ms : int
        Committed time of the change.
    """

    subject: str
    value: str
    until_ms: int


class FormerValues:
    """Values that subjects had until lately, with the time until which they had them.

    Parameters
    ----------
    context : StateContext

    Attributes
    ----------
    known_since_ms : int or None
        Committed time since which all changes are known: 0 for all time; None if not even the
        latest changes are.
    """

    def __init__(self, context):
        self._context = context
        self._until_ms_by_key = {}
        self.known_since_ms = 0

    def note(self, subject, value):
        """Note that a subject no longer has a value.

        Parameters
        ----------
        subject, value : str
        """
        oldest_ms = self._context.now_ms - RETENTION_MS
        for key, until_ms in list(self._until_ms_by_key.items()):
            if until_ms < oldest_ms:
                del self._until_ms_by_key[key]
        self._until_ms_by_key[subject, value] = self._context.now_ms

    def values_since(self, subject, since_ms):
        """Return the values that a subject has had since a time and no longer has.

        Parameters
        ----------
        subject : str
        since_ms : int

        Returns
        -------
        set of str, or None
            None if not all changes since then are known.
        """
        if self.known_since_ms is None or self.known_since_ms > since_ms:
            return None
        values = set()
        for (former_subject, value), until_ms in self._until_ms_by_key.items():
            if former_subject == subject and until_ms >= since_ms:
                values.add(value)
        return values

    def note_command(self, at_ms):
        """Note a command that changes values; one without a time leaves unknown when it did.

        Parameters
        ----------
        at_ms : int
            Time of the command; 0 if it was written by a version that sets none.
        """
        if not at_ms:
            self.known_since_ms = None
        elif self.known_since_ms is None:
            self.known_since_ms = self._context.now_ms

    def all(self):
        """Return the list of FormerValue."""
        return [FormerValue(*key, until_ms) for key, until_ms in self._until_ms_by_key.items()]

    def restore(self, values, known_since_ms):
        """Restore the values from a snapshot.

        Parameters
        ----------
        values : list of FormerValue
        known_since_ms : int or None
        """
        self._until_ms_by_key = {(item.subject, item.value): item.until_ms for item in values}
        self.known_since_ms = known_since_ms
