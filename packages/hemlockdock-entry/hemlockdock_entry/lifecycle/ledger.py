"""Check that every request ends in exactly one answer or refusal."""

from dataclasses import dataclass


@dataclass(slots=True)
class RequestCounts:
    """Counts of requests received, answered and refused.

    Attributes
    ----------
    received, answered, refused : int
    """

    received: int = 0
    answered: int = 0
    refused: int = 0

    def balanced(self, in_progress):
        """Whether requests received equal those answered, refused and in progress.

        Parameters
        ----------
        in_progress : int

        Returns
        -------
        bool
        """
        return self.received == self.answered + self.refused + in_progress
