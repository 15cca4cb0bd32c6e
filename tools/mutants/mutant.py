"""Describe one deliberate fault and the test that must catch it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mutant:
    """Describe one deliberate fault.

    Attributes
    ----------
    name : str
    file : str
        Path from the repository's root.
    before : str
        Source text that stands exactly once in the file.
    after : str
        The faulty text.
    test : str
        Path of a test file from the repository's root, and optionally ``::Class``.
    """

    name: str
    file: str
    before: str
    after: str
    test: str
