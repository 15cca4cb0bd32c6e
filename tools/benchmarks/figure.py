"""Hold one benchmark figure and judge it by its bound."""

import json
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """Hold one benchmark figure.

    Attributes
    ----------
    name : str
    value : float
    unit : str
    baseline : str
        What the value is compared with; empty for none.
    baseline_value : float or None
    ratio : float or None
        Value over baseline value.
    bound : float
        Judges ``ratio`` where there is one, else ``value``.
    better : str
        ``lower`` or ``higher``.
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
        """Tell whether the figure is within its bound."""
        judged = self.value if self.ratio is None else self.ratio
        if self.better == "lower":
            return judged <= self.bound
        return judged >= self.bound

    def line(self):
        """Return the figure as one line of JSON."""
        names = ("name", "value", "unit", "baseline", "baseline_value", "ratio", "bound")
        row = {name: getattr(self, name) for name in (*names, "better", "seed", "holds")}
        return json.dumps(row)
