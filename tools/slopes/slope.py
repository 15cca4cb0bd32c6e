"""Linear fit of measured values over several sizes."""

import math
import statistics
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slope:
    """Result of a linear fit.

    Attributes
    ----------
    name : str
    unit : str
        Unit of the slope, such as ``bytes per adapter``.
    sizes : tuple of int
    values : tuple of float
    slope : float
    intercept : float
    error : float
        Root mean square of the residuals over the mean value.
    """

    name: str
    unit: str
    sizes: tuple
    values: tuple
    slope: float
    intercept: float
    error: float

    @classmethod
    def fit(cls, name, unit, sizes, values):
        """Fit a line through at least three measured values.

        Parameters
        ----------
        name, unit : str
        sizes : sequence of int
        values : sequence of float

        Returns
        -------
        Slope

        Raises
        ------
        ValueError
            If there are fewer than three sizes.
        """
        if len(sizes) < 3:
            raise ValueError("fitting a slope requires at least three sizes")
        line = statistics.linear_regression(sizes, values)
        squares = [
            (value - line.slope * size - line.intercept) ** 2
            for size, value in zip(sizes, values, strict=True)
        ]
        mean = statistics.fmean(values) or 1.0
        error = math.sqrt(statistics.fmean(squares)) / abs(mean)
        return cls(name, unit, tuple(sizes), tuple(values), line.slope, line.intercept, error)

    def row(self):
        """Return the slope as a row of a Markdown table."""
        points = ", ".join(
            f"{size:g}: {value:.4g}" for size, value in zip(self.sizes, self.values, strict=True)
        )
        return f"| {self.name} | {self.slope:.4g} | {self.unit} | {self.error:.1%} | {points} |"
