"""Counters, gauges and latency histograms of a process."""

from hemlockdock_core.metrics.counters import COUNTERS, Counters
from hemlockdock_core.metrics.gauges import GAUGES, Gauges
from hemlockdock_core.metrics.latencies import LATENCIES, Latencies

__all__ = ["COUNTERS", "GAUGES", "LATENCIES", "Counters", "Gauges", "Latencies"]
