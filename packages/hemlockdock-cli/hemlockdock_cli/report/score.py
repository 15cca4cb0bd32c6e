"""Define what a report is made of: one record for each scored run."""

import msgspec


class DayScore(msgspec.Struct, frozen=True):
    """Hold how one day of a run ended.

    Attributes
    ----------
    name : str
    worth : float
        What was earned of what could be, less prices.
    low_mark, high_mark : float or None
        Worth at which the day scores 0 and 1; None where there are no marks.
    served, refused, failed : float
        Shares of the requests, 0 to 1.
    passed : bool
        Whether no rule was broken and the floors were reached.
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
    """Hold one scored run.

    Attributes
    ----------
    at : str
        When it began, in ISO 8601.
    site : str
    version : str
        Of the sources that ran.
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
        """Tell whether every day passed."""
        return all(day.passed for day in self.days)
