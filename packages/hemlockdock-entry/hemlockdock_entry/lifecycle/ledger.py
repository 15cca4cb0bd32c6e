"""Check that every request ends in exactly one way."""

from dataclasses import dataclass


@dataclass(slots=True)
class Ledger:
    """Count requests in and out.

    Attributes
    ----------
    received, answered, refused : int
    """

    received: int = 0
    answered: int = 0
    refused: int = 0

    def balanced(self, in_progress):
        """Tell whether requests in equal answers, refusals and those in progress.

        Parameters
        ----------
        in_progress : int

        Returns
        -------
        bool
        """
        return self.received == self.answered + self.refused + in_progress
