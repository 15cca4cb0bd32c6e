"""Limit the loads from the weight store, and estimate how long loads take."""

from hemlockdock_control.loading.load_times import LoadTimeEstimator
from hemlockdock_control.loading.store_budget import StoreBudget
from hemlockdock_control.loading.tier import Tier

__all__ = ["LoadTimeEstimator", "StoreBudget", "Tier"]
