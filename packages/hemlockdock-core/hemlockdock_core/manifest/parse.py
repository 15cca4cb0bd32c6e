"""Parsing and validation of manifest files."""

import msgspec
from pydantic import ValidationError

from hemlockdock_core.errors.field_error import FieldError, InvalidInputError
from hemlockdock_core.foreign import UndecodableError, decode_foreign
from hemlockdock_core.manifest.manifest import Manifest
from hemlockdock_core.manifest.references import reference_errors

DOCUMENT_DECODER = msgspec.json.Decoder()


def parse_manifest(data, source):
    """Parse a manifest, and report all invalid fields at once.

    Parameters
    ----------
    data : bytes or str
        JSON text.
    source : str
        Name of the input in error messages.

    Returns
    -------
    Manifest

    Raises
    ------
    InvalidInputError
        If any field is invalid.
    """
    errors = []
    manifest = None
    try:
        manifest = Manifest.model_validate_json(data)
    except ValidationError as error:
        errors.extend(_field_errors(error, source))
    for path, expected in reference_errors(_decode_document(data)):
        errors.append(FieldError(source, path, expected))
    if errors:
        raise InvalidInputError(errors)
    return manifest


def _decode_document(data):
    try:
        return decode_foreign(DOCUMENT_DECODER, data)
    except UndecodableError:
        # Invalid JSON has already been reported by model_validate_json.
        return None


def _field_errors(error, source):
    errors = []
    for detail in error.errors(include_url=False):
        path = _format_location(detail["loc"]) or "(whole)"
        errors.append(FieldError(source, path, detail["msg"]))
    return errors


def _format_location(location):
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
            continue
        path += f".{part}" if path else str(part)
    return path
