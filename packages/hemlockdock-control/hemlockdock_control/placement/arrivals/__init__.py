"""Predict when requests for each model arrive."""

from hemlockdock_control.placement.arrivals.arrivals import Arrivals
from hemlockdock_control.placement.arrivals.forecast import Forecast, best_forecast

__all__ = ["Arrivals", "Forecast", "best_forecast"]
