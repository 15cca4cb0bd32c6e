"""Count requested models that are never served over a simulated day, and bound their number."""

import random
from dataclasses import dataclass, replace

from hemlockdock_cli.lab.disturbances import draw_disturbances
from hemlockdock_cli.lab.scenario import SCENARIOS
from hemlockdock_cli.lab.simulation import Simulation
from hemlockdock_cli.lab.store_bound import AbsentModel, most_names_served
from hemlockdock_core.settings.sections import FleetSection
from hemlockdock_entry.gateway.patience import FIRST_EVENT_S, MAX_RETRY_AFTER_FRACTION, Patience

MS_PER_S = 1_000.0
DURATION_S = 34.0
# A model counts if it is requested at least this often, over at least this time.
MIN_REQUESTS = 4
MIN_SPAN_S = 8.0


def day_scenario(store_load_s, full_speed_loads):
    """Return a platform that starts, with some models that only the weight store has.

    Busy models get fewer requests than on the scenario that it is derived from, as the store
    hardly serves them.

    Parameters
    ----------
    store_load_s : float
    full_speed_loads : int

    Returns
    -------
    Scenario
    """
    grown = SCENARIOS["grown"]
    classes = []
    for traffic in grown.classes:
        rate_per_s = traffic.requests_per_s if traffic.rare else traffic.requests_per_s / 6.0
        classes.append(replace(traffic, requests_per_s=rate_per_s))
    return replace(
        grown,
        name="absent",
        classes=tuple(classes),
        disk_model_share=0.82,
        store_load_ms=round(store_load_s * MS_PER_S),
        store_full_speed_loads=full_speed_loads,
        warm_up_s=16.0,
        listed_after_s=4.0,
        listed_at_once=6,
    )


@dataclass(frozen=True, slots=True)
class AbsentModelsRow:
    """Outcome of one simulated day.

    Attributes
    ----------
    seed : int
    requested : int
        Models that were requested through the day.
    never_served : int
        Those of them that no request was answered for.
    bound : int
        The fewest that any schedule of the store leaves, if no load is lost.
    answered : int
        Answered requests for models that no host had at the start.
    store_loads : tuple of StoreLoad
    """

    seed: int
    requested: int
    never_served: int
    bound: int
    answered: int
    store_loads: tuple


def simulate_day(scenario, policy, seed):
    """Simulate one day with disturbances.

    Parameters
    ----------
    scenario : Scenario
    policy : type
    seed : int

    Returns
    -------
    AbsentModelsRow
    """
    engines = [f"e{number}" for number in range(scenario.engines)]
    disturbances = draw_disturbances(random.Random(seed), engines)
    simulation = Simulation(scenario, policy, seed, DURATION_S, disturbances).run()
    requests_by_model = {}
    for request in simulation.requests:
        requests_by_model.setdefault(request.model, []).append(request)
    requested = {
        model: requests
        for model, requests in requests_by_model.items()
        if len(requests) >= MIN_REQUESTS
        and requests[-1].first_arrival_s - requests[0].first_arrival_s >= MIN_SPAN_S
    }
    never_served = 0
    for requests in requested.values():
        never_served += not any(request.is_answered for request in requests)
    absent = []
    answered = 0
    for model, requests in requested.items():
        if model in simulation.initially_on_hosts:
            continue
        answered += sum(request.is_answered for request in requests)
        last_useful_s = max(_latest_useful_load_end_s(request) for request in requests)
        absent.append(AbsentModel(model, 1, last_useful_s))
    first_load_s = scenario.listed_after_s - scenario.warm_up_s
    load_s = scenario.store_load_ms / MS_PER_S / scenario.store_full_speed_loads
    bound = len(absent) - most_names_served(absent, first_load_s, load_s)
    loads = tuple(simulation.store_loads)
    return AbsentModelsRow(seed, len(requested), never_served, bound, answered, loads)


def _latest_useful_load_end_s(request):
    """Return the latest end of a load for which a client would still wait when it has returned."""
    settings = FleetSection()
    deadline_s = request.first_arrival_s + request.traffic.deadline_ms / MS_PER_S
    returned_s = request.first_arrival_s
    returned_s += MAX_RETRY_AFTER_FRACTION * request.traffic.deadline_ms / MS_PER_S
    patience = Patience.of(request.traffic.route, settings, returned_s, deadline_s)
    return patience.until_s - FIRST_EVENT_S
