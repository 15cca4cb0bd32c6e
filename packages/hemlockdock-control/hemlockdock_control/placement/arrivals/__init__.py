"""Learn when requests for each model come."""

from hemlockdock_control.placement.arrivals.arrivals import Arrivals
from hemlockdock_control.placement.arrivals.outlook import Outlook, best_outlook

__all__ = ["Arrivals", "Outlook", "best_outlook"]
