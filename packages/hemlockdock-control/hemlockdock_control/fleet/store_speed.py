"""Learn how many loads the weight store carries at once at full speed.

Nobody tells that number. Beyond it each load takes longer in proportion, so that a store asked for
too much delivers nothing in time. It answers a load in which many models have no copy on any host.
"""

from dataclasses import dataclass

# Where the store carries one, a load that many wait for comes later by what was begun before it.
FIRST_AT_ONCE = 2
# Once so many have ended in time as may be under way, that number is doubled up to this one, then
# grows by one.
DOUBLED_UP_TO = 4
MOST_AT_ONCE = 16
# A load takes a little longer than its nominal time: orders, reports and the exchange before it.
SLOW_FACTOR = 1.2
# A load that ends a little late for other reasons still shows the next whole number.
ROUND_UP = 0.25
# After loads were slow, one more is tried at most this often.
RETRY_S = 30.0


@dataclass(slots=True)
class _Load:
    """Follow one load.

    Attributes
    ----------
    nominal_s, began_s : float
    found : int
        Loads under way when it began, itself included.
    most : int
        The most that were under way at any time of it.
    """

    nominal_s: float
    began_s: float
    found: int
    most: int


class StoreSpeed:
    """Learn from the loads that this member had begun.

    Attributes
    ----------
    at_once : int
        Loads that the store is taken to carry at full speed.
    is_known : bool
        Whether any load beside another, or one that was late, has shown it.
    """

    def __init__(self):
        self.at_once = FIRST_AT_ONCE
        self.is_known = False
        self._load_by_number = {}
        self._slow_s = None

    def began(self, number, nominal_s, now_s):
        """Take the begin of a load.

        Parameters
        ----------
        number : int
            Of the change that the load belongs to.
        nominal_s : float
            Its time at full speed.
        now_s : float
        """
        found = len(self._load_by_number) + 1
        for load in self._load_by_number.values():
            load.most = max(load.most, found)
        self._load_by_number[number] = _Load(nominal_s, now_s, found, found)

    def forget_loads(self):
        """Follow the loads under way no longer."""
        self._load_by_number = {}

    def ended(self, number, loaded, now_s):
        """Take the end of a load; one that is not from the store is passed over.

        Parameters
        ----------
        number : int
        loaded : bool
            Whether the model is there now.
        now_s : float
        """
        load = self._load_by_number.pop(number, None)
        if load is None or not loaded:
            return
        took_s = now_s - load.began_s
        if took_s > SLOW_FACTOR * load.nominal_s:
            self._lower(load, took_s, now_s)
            return
        self.is_known = self.is_known or load.found > 1
        if load.found >= self.at_once:
            self._grow(now_s)

    def check(self, now_s):
        """Learn from loads that should have ended by now.

        Parameters
        ----------
        now_s : float
        """
        for load in self._load_by_number.values():
            took_s = now_s - load.began_s
            if took_s > SLOW_FACTOR * load.nominal_s:
                self._lower(load, took_s, now_s)

    def _grow(self, now_s):
        if self._slow_s is not None and now_s - self._slow_s < RETRY_S:
            return
        if self._slow_s is None and self.at_once < DOUBLED_UP_TO:
            self.at_once = min(DOUBLED_UP_TO, 2 * self.at_once)
        else:
            self.at_once = min(MOST_AT_ONCE, self.at_once + 1)
        if self._slow_s is not None:
            self._slow_s = now_s

    def _lower(self, load, took_s, now_s):
        self.is_known = True
        carried = max(1, int(load.most * load.nominal_s / took_s + ROUND_UP))
        if carried < self.at_once:
            self.at_once = carried
            self._slow_s = now_s
