"""Report every bad field of one input at once."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FieldError:
    """Name one bad field.

    Attributes
    ----------
    source : str
        File name, or what the input is called.
    path : str
        Where in the input, such as ``models[3].memory_mb`` or ``[entry] queue_limit``.
    expected : str
        What would have been accepted.
    """

    source: str
    path: str
    expected: str

    def __str__(self):
        return f"{self.source}: {self.path}: {self.expected}"


class InvalidInputError(ValueError):
    """Raise with all field errors found in one input.

    Parameters
    ----------
    errors : list of FieldError
    """

    def __init__(self, errors):
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = list(errors)
