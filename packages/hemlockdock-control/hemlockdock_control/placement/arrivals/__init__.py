"""Predict when requests for each model arrive."""

from hemlockdock_control.placement.arrivals.arrivals import ArrivalPredictor
from hemlockdock_control.placement.arrivals.forecast import Forecast, best_forecast

__all__ = ["ArrivalPredictor", "Forecast", "best_forecast"]
