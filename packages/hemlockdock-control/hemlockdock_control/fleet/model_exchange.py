"""An exchange of models on one engine, as chosen by the placement policy."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ModelExchange:
    """One exchange of models on an engine.

    Attributes
    ----------
    endpoint_id : str
    model : ModelSpec
    unload : tuple of str
    source : str
        Where the weights are loaded from: ``memory``, ``disk`` or ``store``.
    takes_s : float
        Expected duration.
    unload_rate_per_s : float
        Request rate of the models to be unloaded.
    reason : str
        Explanation for the log.
    is_fallback : bool
        Whether the store is used because the hosts with the weights can't load the model.
    """

    endpoint_id: str
    model: object
    unload: tuple
    source: str
    takes_s: float
    unload_rate_per_s: float
    reason: str
    is_fallback: bool = False
