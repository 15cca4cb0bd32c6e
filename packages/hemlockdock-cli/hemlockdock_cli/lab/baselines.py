"""Baseline placement policies, and policies of other versions, for comparison."""

import importlib.util
from pathlib import Path

from hemlockdock_control.fleet.exchange_costs import ExchangeCosts
from hemlockdock_control.fleet.load_order import AwaitedModel
from hemlockdock_control.fleet.model_choice import ModelChoice


class RecencyCosts(ExchangeCosts):
    """Value models by the time of their last request; unloading one costs nothing."""

    def value(self, name):
        """Return a value that is the higher, the later a model was last requested."""
        use = self._use_by_name.get(name)
        return 0.0 if use is None else max(0.0, 60.0 + use.last_asked_s - self._now_s)

    def harm(self, name, blocked_s):
        """Return 0."""
        return 0.0


class LeastRecentlyUsed(ModelChoice):
    """Load models in the order in which requests began to wait; unload the least recently used."""

    costs_type = RecencyCosts

    def _awaited(self):
        awaited = []
        for name, use in self._use_by_name.items():
            if use is not None and use.waiting and not self._copies_by_name.get(name, 0):
                is_on_host = name in self._copies.holders_by_name
                event_s = self._now_s + self.costs.fastest_first_event_s(name)
                awaited.append(AwaitedModel(self._spec_by_name[name], use, is_on_host, event_s))
        return sorted(awaited, key=lambda item: (item.use.waiting_since_s, item.spec.name))

    def _crowded(self):
        return ()

    def _ahead(self):
        return None

    def _may_use_store(self, spec, gain, from_store):
        return True


class Static(ModelChoice):
    """Exchange no models: engines keep the models that they start with."""

    def choices(self):
        """Return no exchanges."""
        return ()


def find_policy(name):
    """Return the class that implements a policy.

    Parameters
    ----------
    name : str
        Key of `POLICIES`, or a ``.py`` file that defines the ``ModelChoice`` of another version.

    Returns
    -------
    type

    Raises
    ------
    KeyError
        If the name is neither.
    """
    if name in POLICIES:
        return POLICIES[name]
    if not name.endswith(".py") or not Path(name).is_file():
        raise KeyError(name)
    spec = importlib.util.spec_from_file_location(f"policy_{Path(name).stem}", name)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.ModelChoice


POLICIES = {"rates": ModelChoice, "lru": LeastRecentlyUsed, "static": Static}
