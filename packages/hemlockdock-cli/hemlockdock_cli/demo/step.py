"""Result of one demo step."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Step:
    """Result of one demo step: one line of the printed table.

    Attributes
    ----------
    title : str
    expected : str
    actual : str
    took_ms : int
    """

    title: str
    expected: str
    actual: str
    took_ms: int

    @property
    def as_expected(self):
        """Whether the actual result equals the expected one."""
        return self.expected == self.actual

    def row(self):
        """Return the table cells by column header."""
        return {
            "what": self.title,
            "expected": self.expected,
            "seen": self.actual,
            "ms": self.took_ms,
            "ok": "yes" if self.as_expected else "NO",
        }
