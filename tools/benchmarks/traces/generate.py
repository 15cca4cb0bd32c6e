"""Generate a trace from a workload shape and a seed."""

import random

from benchmarks.traces.shape import ADAPTERS, DAYS, ENTRIES, EVENT_DAY, MEASURED_FROM_DAY
from benchmarks.traces.trace import Arrival, HostSpec, Trace
from hemlockdock_control.placement import AdapterView, ModelView, VersionView

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
START_MS = 20_000 * DAY_MS
DOMAINS = ("domain-a", "domain-b", "domain-c")
ENDPOINT_MB = 80_000
DISK_CACHES_MB = (0, 120_000, 240_000)
MEMORY_CACHES_MB = (0, 32_000, 64_000)
OUTAGE_MS = 45 * MINUTE_MS
MEDIAN_GAP_MS = 45_000
GAP_SIGMA = 1.3
ADAPTER_SHARE = 0.4


class TraceGenerator:
    """Generate one trace from the request patterns of all models."""

    def __init__(self, shape, seed):
        """Draw the models and adapters of the trace.

        Parameters
        ----------
        shape : Shape
        seed : int
        """
        self._shape = shape
        self._seed = seed
        self._random = random.Random(f"{shape.name}/{seed}")
        self._arrivals = []
        self._models = [self._make_model(index) for index in range(shape.model_count)]
        self._adapters = self._make_adapters()
        self._adapters_by_model = {}
        for adapter in self._adapters:
            self._adapters_by_model.setdefault(adapter.model, []).append(adapter.name)

    def generate(self):
        """Draw the requests and hosts, and return the trace.

        Returns
        -------
        Trace
        """
        shape = self._shape
        names = iter([model.name for model in self._models])
        for _ in range(shape.busy_models):
            self._add_busy(next(names))
        for _ in range(shape.grouped_models // shape.group_size):
            self._add_group([next(names) for _ in range(shape.group_size)])
        for _ in range(shape.nightly_models):
            self._add_nightly(next(names))
        for _ in range(shape.rare_models):
            self._add_rare(next(names))
        if shape.rush:
            self._add_rush()
        self._arrivals.sort(key=lambda arrival: (arrival.at_ms, arrival.model, arrival.entry))
        lost_from_ms = START_MS + EVENT_DAY * DAY_MS + round(shape.lost_hour * HOUR_MS)
        return Trace(
            shape=shape,
            seed=self._seed,
            arrivals=self._arrivals,
            models=self._models,
            adapters=self._adapters,
            hosts=self._make_hosts(),
            lost_domain=self._random.choice(DOMAINS),
            lost_from_ms=lost_from_ms,
            lost_until_ms=lost_from_ms + OUTAGE_MS,
            measured_from_ms=START_MS + MEASURED_FROM_DAY * DAY_MS,
            end_ms=START_MS + DAYS * DAY_MS,
        )

    def _make_model(self, index):
        checkpoint_mb = round(min(max(self._random.lognormvariate(9.5, 0.6), 3_000), 40_000))
        version = VersionView("v1", round(checkpoint_mb * 1.2) + 2_000, checkpoint_mb)
        max_replicas = 4 if index < self._shape.busy_models else 2
        return ModelView(
            name=f"model-{index:02}",
            serve="v1",
            version_by_name={"v1": version},
            priority=50,
            most_replicas=max_replicas,
            requests_per_replica=8,
            deadline_ms=self._shape.deadline_ms,
        )

    def _make_adapters(self):
        adapters = []
        for index in range(ADAPTERS):
            model = self._random.choice(self._models)
            adapters.append(AdapterView(f"adapter-{index:03}", model.name, 200))
        return adapters

    def _make_hosts(self):
        hosts = []
        for group, count in self._shape.endpoints_by_group.items():
            for index in range(count):
                domain = DOMAINS[index % len(DOMAINS)]
                disk_mb = DISK_CACHES_MB[index // len(DOMAINS) % len(DISK_CACHES_MB)]
                memory_mb = self._random.choice(MEMORY_CACHES_MB)
                node_id = f"{group}-{index}"
                hosts.append(HostSpec(node_id, group, domain, ENDPOINT_MB, disk_mb, memory_mb))
        return hosts

    def _add(self, at_ms, model, deadline_ms=None):
        if not START_MS <= at_ms < START_MS + DAYS * DAY_MS:
            return
        adapter = ""
        adapters = self._adapters_by_model.get(model)
        if adapters and self._random.random() < ADAPTER_SHARE:
            adapter = self._random.choice(adapters)
        service_ms = round(min(self._random.lognormvariate(8.0, 0.6), 30_000))
        entry = self._random.randrange(ENTRIES)
        deadline_ms = deadline_ms or self._shape.deadline_ms
        self._arrivals.append(Arrival(round(at_ms), model, adapter, entry, service_ms, deadline_ms))

    def _add_busy(self, model):
        # Steady requests in working hours, one every few minutes outside them.
        at_ms = START_MS
        start_hour, end_hour = self._shape.work_hours
        while at_ms < START_MS + DAYS * DAY_MS:
            hour = at_ms % DAY_MS / HOUR_MS
            mean_ms = 15_000 if start_hour <= hour < end_hour else 8 * MINUTE_MS
            at_ms += self._random.expovariate(1.0 / mean_ms)
            self._add(at_ms, model)

    def _add_session(self, model, start_ms, length_ms, burst):
        # An initial burst over all entries, then single requests with log-normal gaps.
        for _ in range(burst):
            self._add(start_ms + self._random.uniform(0, 5_000), model)
        at_ms = start_ms
        while True:
            at_ms += MEDIAN_GAP_MS * self._random.lognormvariate(0.0, GAP_SIGMA)
            if at_ms >= start_ms + length_ms:
                return
            self._add(at_ms, model)

    def _add_group(self, models):
        # A team's first session of a day is near its usual hour, further ones are at random hours.
        # A session starts with one model and uses the others within minutes.
        start_hour, end_hour = self._shape.work_hours
        usual_hour = start_hour + abs(self._random.gauss(0.5, 0.6))
        for day in range(DAYS):
            day_ms = START_MS + day * DAY_MS
            starts = [day_ms + usual_hour * HOUR_MS + self._random.gauss(0, 12 * MINUTE_MS)]
            while self._random.random() < 1.0 - 1.0 / self._shape.sessions_per_day:
                starts.append(day_ms + self._random.uniform(start_hour + 3, end_hour) * HOUR_MS)
            for start_ms in starts:
                self._add_group_session(models, start_ms)

    def _add_group_session(self, models, start_ms):
        length_ms = self._random.uniform(20, 90) * MINUTE_MS
        self._add_session(models[0], start_ms, length_ms, self._random.randint(5, 30))
        for model in models[1:]:
            if self._random.random() < 0.2:
                continue
            delay_ms = self._random.expovariate(1.0 / (4 * MINUTE_MS))
            self._add_session(model, start_ms + delay_ms, length_ms, self._random.randint(1, 5))

    def _add_nightly(self, model):
        usual_hour = self._random.uniform(0.5, 4.5)
        for day in range(DAYS):
            if self._random.random() < 0.1:
                continue
            start_ms = START_MS + day * DAY_MS + usual_hour * HOUR_MS
            at_ms = start_ms + self._random.gauss(0, 2 * MINUTE_MS)
            for _ in range(self._random.randint(10, 40)):
                self._add(at_ms, model, self._shape.job_deadline_ms)
                at_ms += self._random.expovariate(1.0 / 30_000)

    def _add_rare(self, model):
        # On average two sessions a day to one in the whole trace, at random working hours.
        rate = self._random.choice((0.2, 0.5, 1.0, 2.0))
        start_hour, end_hour = self._shape.work_hours
        for day in range(DAYS):
            expected = rate
            while self._random.random() < expected / (1.0 + expected):
                hour = self._random.uniform(start_hour, end_hour)
                start_ms = START_MS + day * DAY_MS + hour * HOUR_MS
                self._add_session(model, start_ms, self._random.uniform(1, 15) * MINUTE_MS, 1)

    def _add_rush(self):
        # A request peak on six models for four hours of one evening.
        start_ms = START_MS + EVENT_DAY * DAY_MS + 17 * HOUR_MS
        first = self._shape.busy_models
        for model in self._models[first : first + 6]:
            at_ms = start_ms
            while at_ms < start_ms + 4 * HOUR_MS:
                at_ms += self._random.expovariate(1.0 / 2_000)
                self._add(at_ms, model.name)


def make_trace(shape, seed):
    """Generate a trace.

    Parameters
    ----------
    shape : Shape
    seed : int

    Returns
    -------
    Trace
    """
    return TraceGenerator(shape, seed).generate()
