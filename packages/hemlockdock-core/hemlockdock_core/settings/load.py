"""Parsing of settings from INI text, with all errors reported at once."""

import configparser
from pathlib import Path

from pydantic import ValidationError

from hemlockdock_core.errors.field_error import FieldError, InvalidInputError
from hemlockdock_core.settings.settings import Settings


def load_settings(path):
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or pathlib.Path

    Returns
    -------
    Settings

    Raises
    ------
    InvalidInputError
        With all errors found.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = FieldError(str(path), "(file)", f"a readable text file: {error}")
        raise InvalidInputError([problem]) from None
    return parse_settings(text, str(path))


def parse_settings(text, source):
    """Parse and validate settings from INI text.

    Parameters
    ----------
    text : str
    source : str
        Name of the text in errors.

    Returns
    -------
    Settings

    Raises
    ------
    InvalidInputError
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        problem = FieldError(source, "(file)", " ".join(str(error).split()))
        raise InvalidInputError([problem]) from None
    values = {section: dict(parser[section]) for section in parser.sections()}
    errors = []
    settings = None
    try:
        settings = Settings.model_validate(values)
    except ValidationError as error:
        errors.extend(_field_errors(error, source))
        settings = _validate_valid_keys(values, error)
    if settings is not None:
        for section, name, expected in settings.conflicts():
            conflict = FieldError(source, f"[{section}] {name}", expected)
            if all(conflict.path != other.path for other in errors):
                errors.append(conflict)
    if errors:
        raise InvalidInputError(errors)
    return settings


def _field_errors(error, source):
    errors = []
    for detail in error.errors(include_url=False):
        location = [str(part) for part in detail["loc"]]
        path = f"[{location[0]}]"
        if len(location) > 1:
            path += f" {location[1]}"
        errors.append(FieldError(source, path, detail["msg"].removeprefix("Value error, ")))
    return errors


def _validate_valid_keys(values, error):
    # Validates without the invalid keys, so that conflicts among the valid ones are reported too.
    valid = {section: dict(keys) for section, keys in values.items()}
    for detail in error.errors(include_url=False):
        location = detail["loc"]
        if len(location) == 1:
            valid.pop(location[0], None)
        elif location[0] in valid:
            valid[location[0]].pop(str(location[1]), None)
    try:
        return Settings.model_validate(valid)
    except ValidationError:
        return None
