"""Turn a manifest file's bytes into a validated manifest."""

import msgspec
from pydantic import ValidationError

from hemlockdock_core.errors.field_error import FieldError, InvalidInputError
from hemlockdock_core.manifest.manifest import Manifest
from hemlockdock_core.manifest.references import reference_errors


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
    errors = []
    manifest = None
    try:
        manifest = Manifest.model_validate_json(data)
    except ValidationError as error:
        errors.extend(_field_errors(error, source))
    for path, expected in reference_errors(_document(data)):
        errors.append(FieldError(source, path, expected))
    if errors:
        raise InvalidInputError(errors)
    return manifest


def _document(data):
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        # The models have reported that this is no JSON.
        return None


def _field_errors(error, source):
    errors = []
    for detail in error.errors(include_url=False):
        path = _path(detail["loc"]) or "(whole)"
        errors.append(FieldError(source, path, detail["msg"]))
    return errors


def _path(location):
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
            continue
        path += f".{part}" if path else str(part)
    return path
