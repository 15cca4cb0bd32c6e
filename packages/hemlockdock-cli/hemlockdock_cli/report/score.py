"""Data model of a report: one record for each scored run."""

import msgspec


class DayScore(msgspec.Struct, frozen=True):
    """Result of one day of a run.

    Attributes
    ----------
    name : str
    worth : float
        Value earned as a share of the achievable value, less costs.
    low_mark, high_mark : float or None
        Worth at which the day scores 0 and 1; None if the day has no marks.
    served, refused, failed : float
        Fractions of the requests, 0 to 1.
    passed : bool
        Whether no rule was violated and all minimum values were reached.
    """

    name: str
    worth: float
    low_mark: float | None
    high_mark: float | None
    served: float
    refused: float
    failed: float
    passed: bool


class ScoreRecord(msgspec.Struct, frozen=True):
    """Result of one scored run.

    Attributes
    ----------
    at : str
        Start time, in ISO 8601.
    site : str
    version : str
        Version of the source code that ran.
    why : str
    score : float or None
    days : tuple of DayScore
    """

    at: str
    site: str
    version: str
    why: str
    score: float | None
    days: tuple[DayScore, ...]

    @property
    def passed(self):
        """Whether every day passed."""
        return all(day.passed for day in self.days)
