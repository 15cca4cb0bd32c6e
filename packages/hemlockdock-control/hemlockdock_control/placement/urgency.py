"""Order the models that requests wait for by what their deadlines still allow."""

import heapq
from dataclasses import dataclass

from hemlockdock_control.loading import Tier
from hemlockdock_control.placement.demand import Demand

AGED_MS = 60_000


@dataclass(frozen=True, slots=True)
class Job:
    """Describe one load that is asked for.

    Attributes
    ----------
    demand : Demand
    load_ms : int
    uses_store : bool
    """

    demand: Demand
    load_ms: int
    uses_store: bool

    @property
    def latest_start_ms(self):
        """Return when the load has to start to be in time."""
        return self.demand.deadline_at_ms - self.load_ms


def by_urgency(plan, demands):
    """Order demands: aged ones, then those that can be in time, then the rest.

    Those that can be in time go by latest start. Where the store cannot carry all of them in
    time, those of least priority, and among them the longest, give way (Moore and Hodgson).

    Parameters
    ----------
    plan : hemlockdock_control.placement.round.Round
    demands : iterable of Demand

    Returns
    -------
    list of Demand
    """
    aged = []
    jobs = []
    for demand in demands:
        if plan.now_ms - demand.since_ms >= AGED_MS:
            aged.append(demand)
            continue
        jobs.append(_job(plan, demand))
    aged.sort(key=lambda demand: (-demand.priority, demand.since_ms, demand.model))
    jobs.sort(key=lambda job: (job.latest_start_ms, -job.demand.priority, job.demand.model))
    late = _give_way(plan, jobs)
    late.sort(key=lambda job: (-job.demand.priority, job.demand.since_ms, job.demand.model))
    return aged + [job.demand for job in jobs + late]


def _job(plan, demand):
    model = plan.view.model_by_name[demand.model]
    version = model.version_by_name[model.serve]
    tier = plan.knowledge.checkpoints.best_tier(model.name, version.name)
    load_ms = plan.knowledge.load_times.expected_ms(tier, version.checkpoint_mb)
    return Job(demand, load_ms, tier is Tier.REMOTE)


def _give_way(plan, jobs):
    # Takes the jobs that cannot be in time out of the given list, and returns them.
    late = []
    while True:
        reached = _first_late(plan, jobs)
        if reached is None:
            return late
        candidates = [job for job in jobs[: reached + 1] if job.uses_store]
        if not jobs[reached].uses_store or jobs[reached].latest_start_ms < plan.now_ms:
            candidates = [jobs[reached]]
        loser = min(candidates, key=lambda job: (job.demand.priority, -job.load_ms))
        jobs.remove(loser)
        late.append(loser)


def _first_late(plan, jobs):
    slots = plan.budget.most_at_once
    busy = min(plan.budget.in_flight, slots)
    free_at_ms = [plan.now_ms] * (slots - busy)
    # How far the loads in flight are is not known; half of a typical one is taken as left.
    typical_ms = sum(job.load_ms for job in jobs) / max(len(jobs), 1)
    free_at_ms += [plan.now_ms + typical_ms / 2] * busy
    heapq.heapify(free_at_ms)
    for index, job in enumerate(jobs):
        start_ms = plan.now_ms
        if job.uses_store:
            start_ms = heapq.heappop(free_at_ms)
            heapq.heappush(free_at_ms, start_ms + job.load_ms)
        if start_ms > job.latest_start_ms:
            return index
    return None
