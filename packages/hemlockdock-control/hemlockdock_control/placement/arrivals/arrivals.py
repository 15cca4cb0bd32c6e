"""Learn when requests arrive, and forecast the next ones."""

from hemlockdock_control.placement.arrivals.daily_activity import DailyActivity
from hemlockdock_control.placement.arrivals.forecast import best_forecast
from hemlockdock_control.placement.arrivals.gap_histogram import GapHistogram
from hemlockdock_control.placement.arrivals.model_arrivals import ModelArrivals
from hemlockdock_control.placement.arrivals.successor_stats import SuccessorStats

ACTIVATION_GAP_MS = 60_000
SESSION_GAP_MS = 1_200_000


class ArrivalPredictor:
    """Learn when requests for each model arrive.

    An activation is a request that follows ``ACTIVATION_GAP_MS`` without one; a session starts
    with a request that follows ``SESSION_GAP_MS`` without one.

    Attributes
    ----------
    arrivals_by_model : dict of str to ModelArrivals
    pooled_gaps : GapHistogram
        Gaps of all models together.
    daily_activity : DailyActivity
    successor_stats : SuccessorStats
    session_count : int
        Number of sessions started so far, over all models.
    since_ms : int or None
        Time of the first observed arrival.
    """

    def __init__(self):
        self.arrivals_by_model = {}
        self.pooled_gaps = GapHistogram()
        self.daily_activity = DailyActivity()
        self.successor_stats = SuccessorStats()
        self.since_ms = None
        self.session_count = 0

    def observe(self, model, at_ms):
        """Record that requests for a model arrived.

        Parameters
        ----------
        model : str
        at_ms : int
        """
        if self.since_ms is None:
            self.since_ms = at_ms
        history = self.arrivals_by_model.get(model)
        if history is None:
            history = ModelArrivals(at_ms)
            self.arrivals_by_model[model] = history
            self._start_session(model, history, at_ms)
            return
        gap_ms = at_ms - history.last_ms
        if gap_ms <= 0:
            return
        history.last_ms = at_ms
        if gap_ms >= ACTIVATION_GAP_MS:
            self.daily_activity.add(at_ms)
        if gap_ms >= SESSION_GAP_MS:
            self._start_session(model, history, at_ms)
        weighted_ms = self.daily_activity.weighted_elapsed_ms(at_ms - gap_ms, at_ms)
        history.gaps.add(weighted_ms)
        self.pooled_gaps.add(weighted_ms)

    def forecasts(self, model, idle_since_ms, now_ms, cold_start_cost_ms, hold_cost):
        """Forecast the next request for a model that has, or could have, an idle replica.

        Parameters
        ----------
        model : str
        idle_since_ms : int
        now_ms : int
        cold_start_cost_ms : float
            Cost of the cold start that is avoided.
        hold_cost : float

        Returns
        -------
        list of Forecast
            One for each source that has data.
        """
        points_by_source = [
            ("gaps between requests", self._gap_probability(model, idle_since_ms, now_ms)),
            *self._session_start_probability(model, now_ms),
        ]
        return _forecasts(points_by_source, cold_start_cost_ms, hold_cost)

    def session_start_forecasts(self, model, now_ms, cold_start_cost_ms, hold_cost, lead_time_ms):
        """Forecast the start of a model's next session.

        Sources that still allow the load to be deferred are left out.

        Parameters
        ----------
        model : str
        now_ms : int
        cold_start_cost_ms : float
        hold_cost : float
        lead_time_ms : float
            Load time plus the time to the next check. A session that starts within it is too
            soon for a load that is deferred.

        Returns
        -------
        list of Forecast
        """
        due = []
        for source, points in self._session_start_probability(model, now_ms):
            if (
                _probability_at(points, lead_time_ms) * cold_start_cost_ms
                > hold_cost * lead_time_ms
            ):
                due.append((source, points))
        return _forecasts(due, cold_start_cost_ms, hold_cost)

    def sessions_a_day(self, model, now_ms):
        """Return the observed number of sessions of a model per day.

        Parameters
        ----------
        model : str
        now_ms : int

        Returns
        -------
        float
        """
        history = self.arrivals_by_model.get(model)
        if history is None:
            return 0.0
        days = max((now_ms - self.since_ms) / 86_400_000, 1.0)
        return len(history.sessions.starts_ms) / min(days, 8.0)

    def _start_session(self, model, history, at_ms):
        self.session_count += 1
        history.sessions.add(at_ms)
        self.successor_stats.add(model, at_ms)

    def _gap_probability(self, model, idle_since_ms, now_ms):
        history = self.arrivals_by_model.get(model)
        gaps = history.gaps if history else GapHistogram()
        weighted_ms = self.daily_activity.weighted_elapsed_ms(idle_since_ms, now_ms)
        weight = self.daily_activity.weight(now_ms)
        points = gaps.cumulative_probability(weighted_ms, self.pooled_gaps)
        return [(horizon_ms / weight, probability) for horizon_ms, probability in points]

    def _session_start_probability(self, model, now_ms):
        history = self.arrivals_by_model.get(model)
        if history is None:
            return []
        return [
            ("time of day", history.sessions.cumulative_probability(now_ms, self.since_ms)),
            ("models that lead it", self.successor_stats.cumulative_probability(model, now_ms)),
        ]


def _forecasts(points_by_source, cold_start_cost_ms, hold_cost):
    forecasts = []
    for source, points in points_by_source:
        forecast = best_forecast(source, points, cold_start_cost_ms, hold_cost)
        if forecast is not None:
            forecasts.append(forecast)
    return forecasts


def _probability_at(points, at_ms):
    # Interpolates linearly between points.
    last_ms = 0.0
    last_probability = 0.0
    for horizon_ms, probability in points:
        if horizon_ms >= at_ms:
            fraction = (at_ms - last_ms) / (horizon_ms - last_ms)
            return last_probability + fraction * (probability - last_probability)
        last_ms, last_probability = horizon_ms, probability
    return last_probability
