"""Errors that report all invalid fields of an input at once."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FieldError:
    """An invalid field of an input.

    Attributes
    ----------
    source : str
        File name, or another name of the input.
    path : str
        Path of the field in the input, such as ``models[3].memory_mb`` or ``[entry] queue_limit``.
    expected : str
        Description of the expected value or of the error.
    """

    source: str
    path: str
    expected: str

    def __str__(self):
        return f"{self.source}: {self.path}: {self.expected}"


class InvalidInputError(ValueError):
    """Raised with all field errors found in an input.

    Parameters
    ----------
    errors : list of FieldError
    """

    def __init__(self, errors):
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = list(errors)
