"""Hold one line of the demo's table."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Step:
    """Hold one line of the demo's table.

    Attributes
    ----------
    what : str
    expected : str
    seen : str
    took_ms : int
    """

    what: str
    expected: str
    seen: str
    took_ms: int

    @property
    def as_expected(self):
        """Tell whether the line is as it should be."""
        return self.expected == self.seen

    def row(self):
        """Return the line as a dict of cells."""
        return {
            "what": self.what,
            "expected": self.expected,
            "seen": self.seen,
            "ms": self.took_ms,
            "ok": "yes" if self.as_expected else "NO",
        }
