"""Metrics in the Prometheus text format."""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, SummaryMetricFamily

from hemlockdock_core.metrics.gauges import Gauges
from hemlockdock_core.metrics.latencies import MICROSECONDS_PER_SECOND

METRIC_PREFIX = "hemlockdock_"
QUANTILES = (0.5, 0.95, 0.99)
NO_GAUGES = Gauges()


class _Collector:
    def __init__(self, counters, latencies, gauges, labelled_gauges):
        self._counters = counters
        self._latencies = latencies
        self._gauges = gauges
        self._labelled_gauges = labelled_gauges

    def collect(self):
        """Yield all metric families."""
        yield from _families(CounterMetricFamily, self._counters)
        yield from _families(GaugeMetricFamily, self._labelled_gauges)
        for name, value in sorted(self._gauges.items()):
            yield GaugeMetricFamily(METRIC_PREFIX + name, name, value=value)
        yield from self._latency_families()

    def _latency_families(self):
        for (name, request_class), histogram in sorted(self._latencies.histogram_by_key.items()):
            summary = SummaryMetricFamily(
                f"{METRIC_PREFIX}{name}_seconds", name, labels=["request_class"]
            )
            count = histogram.get_total_count()
            total = histogram.get_mean_value() * count / MICROSECONDS_PER_SECOND
            summary.add_metric([request_class], count, total)
            yield summary
            quantiles = GaugeMetricFamily(
                f"{METRIC_PREFIX}{name}_quantile_seconds",
                name,
                labels=["request_class", "quantile"],
            )
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile * 100)
                quantiles.add_metric(
                    [request_class, str(quantile)], value / MICROSECONDS_PER_SECOND
                )
            yield quantiles


def _families(family_type, values):
    family_by_name = {}
    for (name, labels), value in sorted(values.value_by_key.items()):
        family = family_by_name.get(name)
        if family is None:
            label_names = [label for label, _ in labels]
            family = family_type(METRIC_PREFIX + name, name, labels=label_names)
            family_by_name[name] = family
        family.add_metric([str(item) for _, item in labels], value)
    yield from family_by_name.values()


def exposition(counters, latencies, gauges, labelled_gauges=NO_GAUGES):
    """Return metrics in the Prometheus text format.

    Parameters
    ----------
    counters : Counters
    latencies : Latencies
    gauges : dict of str to float
    labelled_gauges : Gauges, optional

    Returns
    -------
    bytes
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(counters, latencies, gauges, labelled_gauges))
    return generate_latest(registry)
