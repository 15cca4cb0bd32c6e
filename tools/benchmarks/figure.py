"""Define a benchmark figure and compare it with its bound."""

import json
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """Result of one benchmark, with its baseline and its bound.

    Attributes
    ----------
    name : str
    value : float
    unit : str
    baseline : str
        Description of the baseline; empty for none.
    baseline_value : float or None
    ratio : float or None
        Value divided by baseline value.
    bound : float
        Limit for ``ratio``, or for ``value`` if there is no ratio.
    better : str
        ``lower`` for an upper bound, ``higher`` for a lower bound.
    seed : int
    """

    name: str
    value: float
    unit: str
    baseline: str
    baseline_value: float | None
    ratio: float | None
    bound: float
    better: str
    seed: int

    @property
    def holds(self):
        """Return whether the figure is within its bound."""
        judged = self.value if self.ratio is None else self.ratio
        if self.better == "lower":
            return judged <= self.bound
        return judged >= self.bound

    def line(self):
        """Return the figure as one line of JSON."""
        names = ("name", "value", "unit", "baseline", "baseline_value", "ratio", "bound")
        row = {name: getattr(self, name) for name in (*names, "better", "seed", "holds")}
        return json.dumps(row)
