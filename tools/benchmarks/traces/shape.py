"""Define the workload parameters of the two deployments."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Shape:
    """Parameters from which a trace is generated.

    Attributes
    ----------
    name : str
    weight : float
        The deployment's ``tail_cold_start``.
    endpoints_by_group : dict of str to int
    busy_models, grouped_models, nightly_models, rare_models : int
        Number of models with each request pattern.
    group_size : int
        Number of models that one team uses together.
    sessions_per_day : float
        Mean number of sessions of one team on a working day.
    work_hours : tuple of (float, float)
        First and last hour of the working day.
    rush : bool
        Whether the second measured day has a request peak in the evening, as at a festival.
    lost_hour : float
        Hour of the second measured day at which a failure domain fails.
    deadline_ms : int
        Deadline of interactive requests.
    job_deadline_ms : int
        Deadline of nightly batch requests.
    adapter_load_ms : tuple of (int, int)
        Minimum and maximum load time of an adapter.
    """

    name: str
    weight: float
    endpoints_by_group: dict[str, int]
    busy_models: int
    grouped_models: int
    nightly_models: int
    rare_models: int
    group_size: int
    sessions_per_day: float
    work_hours: tuple[float, float]
    rush: bool
    lost_hour: float
    deadline_ms: int
    job_deadline_ms: int
    adapter_load_ms: tuple[int, int]

    @property
    def model_count(self):
        """Return the total number of models."""
        return self.busy_models + self.grouped_models + self.nightly_models + self.rare_models


CONSULTORA = Shape(
    name="consultora",
    weight=0.7,
    endpoints_by_group={"survey": 9, "field": 3},
    busy_models=4,
    grouped_models=36,
    nightly_models=2,
    rare_models=18,
    group_size=3,
    sessions_per_day=2.0,
    work_hours=(6.5, 17.0),
    rush=False,
    lost_hour=7.25,
    deadline_ms=120_000,
    job_deadline_ms=3_600_000,
    adapter_load_ms=(5, 7),
)

QALAM = Shape(
    name="qalam",
    weight=0.6,
    endpoints_by_group={"pool": 9, "forms": 3},
    busy_models=3,
    grouped_models=15,
    nightly_models=10,
    rare_models=12,
    group_size=3,
    sessions_per_day=2.0,
    work_hours=(8.0, 17.5),
    rush=True,
    lost_hour=18.5,
    deadline_ms=120_000,
    job_deadline_ms=3_600_000,
    adapter_load_ms=(5, 10),
)

SHAPES = (CONSULTORA, QALAM)
DAYS = 5
MEASURED_FROM_DAY = 3
EVENT_DAY = 4
ADAPTERS = 100
ENTRIES = 3
TUNING_SEEDS = (101, 102)
PROVING_SEEDS = (7001, 7002)
