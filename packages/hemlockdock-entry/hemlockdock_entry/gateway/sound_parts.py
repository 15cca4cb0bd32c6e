"""Remember which parts of prompts an endpoint has written answers on."""

from collections import OrderedDict

MAX_PARTS = 8_192
# An update of the endpoints' software may change which parts they can answer.
RETENTION_S = 600.0


class SoundParts:
    """The parts of the prompts that endpoints answered, the latest ones."""

    def __init__(self):
        self._answered_s_by_part = OrderedDict()

    def record(self, parts, now_s):
        """Record that an endpoint began to write an answer and carried on.

        Parameters
        ----------
        parts : iterable of str
        now_s : float
        """
        for part in parts:
            self._answered_s_by_part[part] = now_s
            self._answered_s_by_part.move_to_end(part)
        while len(self._answered_s_by_part) > MAX_PARTS:
            self._answered_s_by_part.popitem(last=False)

    def contains(self, part, now_s):
        """Return whether a part is known to be sound.

        Parameters
        ----------
        part : str
        now_s : float

        Returns
        -------
        bool
        """
        answered_s = self._answered_s_by_part.get(part)
        return answered_s is not None and now_s - answered_s <= RETENTION_S
