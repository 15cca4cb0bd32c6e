"""Describe a deployment and a load, and draw the requests of a seed."""

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
    """Describe one class of requests.

    Attributes
    ----------
    name : str
    per_s : float
    rare : bool
        Whether all the rarely used models are asked for alike, or the busy ones by a skew.
    target_ms, deadline_ms, gap_ms, urgency : int
    tokens : int
        Of the answer, on the average.
    """

    name: str
    per_s: float
    rare: bool
    target_ms: int
    deadline_ms: int
    gap_ms: int
    urgency: int
    tokens: int

    @property
    def route(self):
        """Return the route of the class."""
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
    """Describe a deployment and its load.

    Attributes
    ----------
    name : str
    engines : int
    busy_models, rare_models : int
    sizes_mb : tuple of float
        Models have these sizes in turn.
    weights_mb, disk_cache_mb, host_cache_mb : float
        Of one engine and its host.
    store_ms, memory_ms, disk_ms : int
        Times of a load.
    step_ms : float
        Time of one token of a large model; small ones are faster in proportion.
    copies_on_disk : int
        Hosts that have a model's weights at the start.
    models_on_disk : float
        Part of the models that any host has at the start.
    classes : tuple of TrafficClass
    shift_s : float
        Time after which the demand moves on by two busy models.
    lost_at_s : tuple of float
        When engines are lost, one at a time, and replaced by empty ones.
    store_at_once : int
        Loads that the weight store carries at full speed.
    """

    name: str
    engines: int
    busy_models: int
    rare_models: int
    sizes_mb: tuple
    weights_mb: float
    disk_cache_mb: float
    host_cache_mb: float
    store_ms: int
    memory_ms: int
    disk_ms: int
    step_ms: float
    copies_on_disk: int
    classes: tuple
    shift_s: float = 13.0
    lost_at_s: tuple = ()
    store_at_once: int = 4
    models_on_disk: float = 1.0

    @property
    def models(self):
        """Return the names of all models, the busy ones first."""
        return [f"m{number}" for number in range(self.busy_models + self.rare_models)]

    def size_mb(self, model):
        """Return a model's size.

        Parameters
        ----------
        model : str

        Returns
        -------
        float
        """
        return self.sizes_mb[int(model[1:]) % len(self.sizes_mb)]

    @property
    def pool(self):
        """Return the pool of the deployment's engines."""
        specs = []
        for model in self.models:
            part = self.size_mb(model) / max(self.sizes_mb)
            specs.append(
                ModelSpec(
                    model,
                    self.size_mb(model),
                    0,
                    0.0,
                    self.store_ms,
                    round(self.memory_ms * part),
                    round(self.disk_ms * part),
                )
            )
        engine = EngineSpec(
            32, 1, 1, self.weights_mb, 8, self.host_cache_mb, self.disk_cache_mb, 5.0, tuple(specs)
        )
        return PoolRow(POOL, "/", 240, engine)


@dataclass(slots=True)
class LabRequest:
    """Hold one request.

    Attributes
    ----------
    traffic : TrafficClass
    model : str
    at_s : float
        When it first came.
    tokens : int
    came_s : float
        When it came last.
    returns : int
        How often it has been refused.
    """

    traffic: TrafficClass
    model: str
    at_s: float
    tokens: int
    came_s: float = 0.0
    returns: int = 0


def draw_requests(scenario, seed, length_s):
    """Return the requests of a seed in the order in which they come.

    Parameters
    ----------
    scenario : Scenario
    seed : int
    length_s : float

    Returns
    -------
    list of LabRequest
    """
    source = random.Random(seed)
    requests = []
    for traffic in scenario.classes:
        at_s = 0.0
        while True:
            at_s += source.expovariate(traffic.per_s)
            if at_s >= length_s:
                break
            model = _draw_model(scenario, traffic, at_s, source)
            tokens = max(7, round(source.lognormvariate(0.0, 0.6) * traffic.tokens))
            requests.append(LabRequest(traffic, model, at_s, tokens, at_s))
    requests.sort(key=lambda request: request.at_s)
    return requests


def _draw_model(scenario, traffic, at_s, source):
    if traffic.rare:
        return f"m{scenario.busy_models + source.randrange(scenario.rare_models)}"
    # A harmonic skew over the busy models, whose order moves on.
    weights = [1.0 / (rank + 1) for rank in range(scenario.busy_models)]
    rank = source.choices(range(scenario.busy_models), weights)[0]
    moved = 2 * int(at_s / scenario.shift_s)
    return f"m{(rank + moved) % scenario.busy_models}"


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
        # One engine after the other is lost, and most models have one host.
        replace(
            CONSULTORA,
            name="losses",
            copies_on_disk=1,
            lost_at_s=(4.0, 9.0, 14.0, 19.0, 24.0),
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
            lost_at_s=(8.0,),
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
            store_at_once=1,
            models_on_disk=0.7,
        ),
    )
}
