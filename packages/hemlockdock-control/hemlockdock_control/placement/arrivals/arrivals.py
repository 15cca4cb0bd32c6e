"""Learn when requests come, and look ahead."""

from hemlockdock_control.placement.arrivals.day_shape import DayShape
from hemlockdock_control.placement.arrivals.followers import Followers
from hemlockdock_control.placement.arrivals.gap_histogram import GapHistogram
from hemlockdock_control.placement.arrivals.model_arrivals import ModelArrivals
from hemlockdock_control.placement.arrivals.outlook import best_outlook

WAKE_GAP_MS = 60_000
SESSION_GAP_MS = 1_200_000


class Arrivals:
    """Learn when requests for each model come.

    A wake is a request after ``WAKE_GAP_MS`` without one; a session starts with a request
    after ``SESSION_GAP_MS`` without one.

    Attributes
    ----------
    arrivals_by_model : dict of str to ModelArrivals
    pooled_gaps : GapHistogram
        Of all models together.
    day_shape : DayShape
    followers : Followers
    session_count : int
        Sessions started so far, of all models.
    since_ms : int or None
        When learning began.
    """

    def __init__(self):
        self.arrivals_by_model = {}
        self.pooled_gaps = GapHistogram()
        self.day_shape = DayShape()
        self.followers = Followers()
        self.since_ms = None
        self.session_count = 0

    def observe(self, model, at_ms):
        """Learn that requests for a model arrived.

        Parameters
        ----------
        model : str
        at_ms : int
        """
        if self.since_ms is None:
            self.since_ms = at_ms
        known = self.arrivals_by_model.get(model)
        if known is None:
            known = ModelArrivals(at_ms)
            self.arrivals_by_model[model] = known
            self._start_session(model, known, at_ms)
            return
        gap_ms = at_ms - known.last_ms
        if gap_ms <= 0:
            return
        known.last_ms = at_ms
        if gap_ms >= WAKE_GAP_MS:
            self.day_shape.add(at_ms)
        if gap_ms >= SESSION_GAP_MS:
            self._start_session(model, known, at_ms)
        weighted_ms = self.day_shape.elapsed_ms(at_ms - gap_ms, at_ms)
        known.gaps.add(weighted_ms)
        self.pooled_gaps.add(weighted_ms)

    def outlooks(self, model, idle_since_ms, now_ms, cold_start_ms, hold_price):
        """Look ahead for a model that holds, or could hold, an idle replica.

        Parameters
        ----------
        model : str
        idle_since_ms : int
        now_ms : int
        cold_start_ms : float
            What an avoided cold start is worth.
        hold_price : float

        Returns
        -------
        list of Outlook
            One for each source that says anything.
        """
        by_source = [
            ("gaps between requests", self._gap_points(model, idle_since_ms, now_ms)),
            *self._start_points(model, now_ms),
        ]
        return _outlooks(by_source, cold_start_ms, hold_price)

    def start_outlooks(self, model, now_ms, cold_start_ms, hold_price, soon_ms):
        """Look ahead for the start of a model's next session.

        Sources by which it is still early enough to load later are left out.

        Parameters
        ----------
        model : str
        now_ms : int
        cold_start_ms : float
        hold_price : float
        soon_ms : float
            Time in which a load that is put off could not be made up for.

        Returns
        -------
        list of Outlook
        """
        due = []
        for source, points in self._start_points(model, now_ms):
            if _chance_by(points, soon_ms) * cold_start_ms > hold_price * soon_ms:
                due.append((source, points))
        return _outlooks(due, cold_start_ms, hold_price)

    def sessions_a_day(self, model, now_ms):
        """Return how many sessions a model has a day, as far as is known.

        Parameters
        ----------
        model : str
        now_ms : int

        Returns
        -------
        float
        """
        known = self.arrivals_by_model.get(model)
        if known is None:
            return 0.0
        days = max((now_ms - self.since_ms) / 86_400_000, 1.0)
        return len(known.sessions.starts_ms) / min(days, 8.0)

    def _start_session(self, model, known, at_ms):
        self.session_count += 1
        known.sessions.add(at_ms)
        self.followers.add(model, at_ms)

    def _gap_points(self, model, idle_since_ms, now_ms):
        known = self.arrivals_by_model.get(model)
        gaps = known.gaps if known else GapHistogram()
        weighted_ms = self.day_shape.elapsed_ms(idle_since_ms, now_ms)
        weight = self.day_shape.weight(now_ms)
        points = gaps.points(weighted_ms, self.pooled_gaps)
        return [(within_ms / weight, chance) for within_ms, chance in points]

    def _start_points(self, model, now_ms):
        known = self.arrivals_by_model.get(model)
        if known is None:
            return []
        return [
            ("time of day", known.sessions.points(now_ms, self.since_ms)),
            ("models that lead it", self.followers.points(model, now_ms)),
        ]


def _outlooks(by_source, cold_start_ms, hold_price):
    outlooks = []
    for source, points in by_source:
        outlook = best_outlook(source, points, cold_start_ms, hold_price)
        if outlook is not None:
            outlooks.append(outlook)
    return outlooks


def _chance_by(points, at_ms):
    # Linear between points.
    last_ms = 0.0
    last_chance = 0.0
    for within_ms, chance in points:
        if within_ms >= at_ms:
            part = (at_ms - last_ms) / (within_ms - last_ms)
            return last_chance + part * (chance - last_chance)
        last_ms, last_chance = within_ms, chance
    return last_chance
