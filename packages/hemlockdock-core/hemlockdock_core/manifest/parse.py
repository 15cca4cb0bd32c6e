"""Turn a manifest file's bytes into a validated manifest."""

from pydantic import ValidationError

from hemlockdock_core.errors.field_error import FieldError, InvalidInputError
from hemlockdock_core.manifest.manifest import Manifest

PREFIX = "Value error, "


def parse_manifest(data, source):
    """Validate a manifest and name every bad field at once.

    Parameters
    ----------
    data : bytes or str
        JSON text.
    source : str
        What to call the input in errors.

    Returns
    -------
    Manifest

    Raises
    ------
    InvalidInputError
        Where any field is bad.
    """
    try:
        return Manifest.model_validate_json(data)
    except ValidationError as error:
        raise InvalidInputError(_field_errors(error, source)) from None


def _field_errors(error, source):
    errors = []
    for detail in error.errors(include_url=False):
        path = _path(detail["loc"])
        message = detail["msg"]
        if path:
            errors.append(FieldError(source, path, message))
            continue
        for line in message.removeprefix(PREFIX).splitlines():
            where, _, expected = line.partition(": ")
            errors.append(FieldError(source, where if expected else "(whole)", expected or line))
    return errors


def _path(location):
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
            continue
        path += f".{part}" if path else str(part)
    return path
