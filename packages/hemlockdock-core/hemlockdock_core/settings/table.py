"""A table of all settings keys, for the documentation."""

from dataclasses import dataclass

from pydantic_core import PydanticUndefined

from hemlockdock_core.settings.settings import Settings


@dataclass(frozen=True, slots=True)
class SettingsRow:
    """Type, unit, default and range of one key.

    Attributes
    ----------
    section, key, type, unit, default, limits, doc : str
    """

    section: str
    key: str
    type: str
    unit: str
    default: str
    limits: str
    doc: str


def settings_table():
    """Return a row for each key of each section.

    Returns
    -------
    list of SettingsRow
    """
    rows = []
    for section_name, section_field in Settings.model_fields.items():
        for name, field in section_field.annotation.model_fields.items():
            rows.append(_row(section_name, name, field))
    return rows


def _row(section_name, name, field):
    extra = field.json_schema_extra or {}
    default = "(required)" if field.default is PydanticUndefined else _format_default(field.default)
    return SettingsRow(
        section_name,
        name,
        _type_name(field.annotation),
        extra.get("unit", ""),
        default,
        _format_range(field.metadata),
        field.description or "",
    )


def _format_default(value):
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    return str(value)


def _type_name(annotation):
    name = getattr(annotation, "__name__", str(annotation))
    return {"list": "list", "Literal": "one of"}.get(name, name)


def _format_range(metadata):
    parts = []
    for item in metadata:
        for attribute, sign in (("ge", ">="), ("gt", ">"), ("le", "<="), ("lt", "<")):
            value = getattr(item, attribute, None)
            if value is not None:
                parts.append(f"{sign} {value}")
    return ", ".join(parts)
