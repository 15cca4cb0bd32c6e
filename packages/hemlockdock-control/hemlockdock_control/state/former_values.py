"""Values that parts of the state had until lately."""

from collections import OrderedDict

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
        # Oldest first, as the committed time never decreases.
        self._until_ms_by_key = OrderedDict()
        self._values_by_subject = {}
        self.known_since_ms = 0

    def note(self, former):
        """Note values that subjects no longer have.

        Parameters
        ----------
        former : list of (str, str)
            Subject and value of each.
        """
        if not former:
            return
        self._drop_old()
        for subject, value in former:
            self._add(subject, value, self._context.now_ms)

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
        for value in self._values_by_subject.get(subject, ()):
            if self._until_ms_by_key[subject, value] >= since_ms:
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
        self._until_ms_by_key.clear()
        self._values_by_subject.clear()
        # Other versions list them in another order.
        for item in sorted(values, key=lambda item: item.until_ms):
            self._add(item.subject, item.value, item.until_ms)
        self.known_since_ms = known_since_ms

    def _add(self, subject, value, until_ms):
        key = (subject, value)
        if self._until_ms_by_key.pop(key, None) is None:
            self._values_by_subject[subject] = (*self._values_by_subject.get(subject, ()), value)
        self._until_ms_by_key[key] = until_ms

    def _drop_old(self):
        oldest_ms = self._context.now_ms - RETENTION_MS
        while self._until_ms_by_key:
            subject, value = next(iter(self._until_ms_by_key))
            if self._until_ms_by_key[subject, value] >= oldest_ms:
                return
            del self._until_ms_by_key[subject, value]
            self._remove_value(subject, value)

    def _remove_value(self, subject, value):
        values = tuple(kept for kept in self._values_by_subject.pop(subject) if kept != value)
        if values:
            self._values_by_subject[subject] = values
