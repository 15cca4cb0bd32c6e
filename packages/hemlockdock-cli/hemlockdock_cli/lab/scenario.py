"""Scenarios: deployments and their workloads, with requests generated from a seed."""

import random
from dataclasses import dataclass, replace

from hemlockdock_core.rows import (
    EngineSpec,
    ModelSpec,
    PoolRow,
    RouteKind,
    RouteRow,
    WeightedPool,
)

POOL = "lm"


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """Workload of one request class.

    Attributes
    ----------
    name : str
    requests_per_s : float
    rare : bool
        True to request the rarely used models uniformly, False to request the busy models with
        a skewed distribution.
    target_ms, deadline_ms, gap_ms, urgency : int
    tokens : int
        Average length of the answer.
    """

    name: str
    requests_per_s: float
    rare: bool
    target_ms: int
    deadline_ms: int
    gap_ms: int
    urgency: int
    tokens: int

    @property
    def route(self):
        """Route of the class."""
        return RouteRow(
            self.name,
            "lab",
            f"/{self.name}/",
            RouteKind.STREAM,
            self.deadline_ms,
            self.target_ms,
            self.urgency,
            (WeightedPool(POOL, 1.0),),
            gap_ms=self.gap_ms,
        )


@dataclass(frozen=True, slots=True)
class Scenario:
    """Deployment and its workload.

    Attributes
    ----------
    name : str
    engines : int
    busy_models, rare_models : int
    model_sizes_mb : tuple of float
        Assigned to the models in turn.
    weights_mb, disk_cache_mb, host_cache_mb : float
        Capacities of one engine and its host.
    store_load_ms, memory_load_ms, disk_load_ms : int
        Duration of a load from each source.
    token_ms : float
        Time per token of the largest model; proportional to the size for smaller models.
    copies_on_disk : int
        Number of hosts that have a model's weights on disk at the start.
    disk_model_share : float
        Fraction of the models that are on the disk of some host at the start.
    classes : tuple of TrafficClass
    shift_s : float
        Interval at which the popularity ranking shifts by two busy models.
    engine_loss_times_s : tuple of float
        Times at which one engine is lost and replaced by an empty one.
    store_full_speed_loads : int
        Number of concurrent loads that the weight store serves at full speed.
    warm_up_s : float
        Time before the first request, as on a platform that is starting.
    listed_after_s : float
        Time after which the directory lists the first engines.
    listed_at_once : int
        Engines that the directory shows at a time; 0 if it lists all from the start.
    """

    name: str
    engines: int
    busy_models: int
    rare_models: int
    model_sizes_mb: tuple
    weights_mb: float
    disk_cache_mb: float
    host_cache_mb: float
    store_load_ms: int
    memory_load_ms: int
    disk_load_ms: int
    token_ms: float
    copies_on_disk: int
    classes: tuple
    shift_s: float = 13.0
    engine_loss_times_s: tuple = ()
    store_full_speed_loads: int = 4
    disk_model_share: float = 1.0
    warm_up_s: float = 8.0
    listed_after_s: float = 0.0
    listed_at_once: int = 0

    @property
    def models(self):
        """Names of all models, the busy ones first."""
        return [f"m{number}" for number in range(self.busy_models + self.rare_models)]

    def size_mb(self, model):
        """Return the size of a model.

        Parameters
        ----------
        model : str

        Returns
        -------
        float
        """
        return self.model_sizes_mb[int(model[1:]) % len(self.model_sizes_mb)]

    @property
    def pool(self):
        """Pool of the deployment's engines."""
        specs = []
        for model in self.models:
            size_ratio = self.size_mb(model) / max(self.model_sizes_mb)
            specs.append(
                ModelSpec(
                    model,
                    self.size_mb(model),
                    0,
                    0.0,
                    self.store_load_ms,
                    round(self.memory_load_ms * size_ratio),
                    round(self.disk_load_ms * size_ratio),
                )
            )
        engine = EngineSpec(
            32, 1, 1, self.weights_mb, 8, self.host_cache_mb, self.disk_cache_mb, 5.0, tuple(specs)
        )
        return PoolRow(POOL, "/", 240, engine)


@dataclass(slots=True)
class SimulatedRequest:
    """One simulated request.

    Attributes
    ----------
    traffic : TrafficClass
    model : str
    first_arrival_s : float
        Time of the first attempt.
    tokens : int
    last_arrival_s : float
        Time of the latest attempt.
    refusals : int
        Number of refused attempts that were retried.
    is_answered : bool
    """

    traffic: TrafficClass
    model: str
    first_arrival_s: float
    tokens: int
    last_arrival_s: float = 0.0
    refusals: int = 0
    is_answered: bool = False


def generate_requests(scenario, seed, duration_s):
    """Generate the requests of a seed in order of arrival.

    Parameters
    ----------
    scenario : Scenario
    seed : int
    duration_s : float

    Returns
    -------
    list of SimulatedRequest
    """
    rng = random.Random(seed)
    requests = []
    for traffic in scenario.classes:
        first_arrival_s = 0.0
        while True:
            first_arrival_s += rng.expovariate(traffic.requests_per_s)
            if first_arrival_s >= duration_s:
                break
            model = _draw_model(scenario, traffic, first_arrival_s, rng)
            tokens = max(7, round(rng.lognormvariate(0.0, 0.6) * traffic.tokens))
            requests.append(
                SimulatedRequest(traffic, model, first_arrival_s, tokens, first_arrival_s)
            )
    requests.sort(key=lambda request: request.first_arrival_s)
    return requests


def _draw_model(scenario, traffic, first_arrival_s, rng):
    if traffic.rare:
        return f"m{scenario.busy_models + rng.randrange(scenario.rare_models)}"
    # Popularity is proportional to 1/rank; the ranking of the busy models shifts over time.
    rank_weights = [1.0 / (rank + 1) for rank in range(scenario.busy_models)]
    rank = rng.choices(range(scenario.busy_models), rank_weights)[0]
    shift = 2 * int(first_arrival_s / scenario.shift_s)
    return f"m{(rank + shift) % scenario.busy_models}"


CONSULTORA = Scenario(
    "consultora",
    9,
    10,
    51,
    (34_300.0, 16_100.0),
    83_000.0,
    320_000.0,
    56_000.0,
    6_000,
    390,
    510,
    5.0,
    2,
    (
        TrafficClass("section", 21.4, False, 500, 12_000, 200, 1, 280),
        TrafficClass("report", 9.2, True, 2_000, 20_000, 200, 1, 280),
        TrafficClass("label", 20.8, False, 1_500, 4_000, 200, 0, 42),
    ),
)
SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        CONSULTORA,
        # Engines are lost one after the other, and the weights of most models are on one host only.
        replace(
            CONSULTORA,
            name="losses",
            copies_on_disk=1,
            engine_loss_times_s=(4.0, 9.0, 14.0, 19.0, 24.0),
        ),
        Scenario(
            "qalam",
            9,
            15,
            28,
            (72_700.0, 65_100.0, 72_700.0, 34_300.0),
            140_000.0,
            560_000.0,
            150_000.0,
            6_000,
            400,
            1_200,
            5.6,
            2,
            (
                TrafficClass("live", 16.0, False, 500, 12_000, 200, 1, 280),
                TrafficClass("draft", 6.4, True, 3_000, 25_000, 200, 1, 282),
                TrafficClass("tag", 19.7, False, 1_500, 4_000, 200, 0, 48),
            ),
            engine_loss_times_s=(8.0,),
        ),
        Scenario(
            "grown",
            26,
            10,
            96,
            (34_300.0, 16_100.0),
            83_000.0,
            320_000.0,
            56_000.0,
            13_200,
            390,
            510,
            5.0,
            1,
            (
                TrafficClass("section", 92.0, False, 500, 12_000, 200, 2, 245),
                TrafficClass("report", 40.0, True, 2_000, 20_000, 200, 1, 245),
                TrafficClass("label", 90.0, False, 1_500, 4_000, 200, 0, 42),
            ),
            store_full_speed_loads=1,
            disk_model_share=0.7,
        ),
    )
}
