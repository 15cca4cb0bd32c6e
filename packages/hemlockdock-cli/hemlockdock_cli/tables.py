"""Format rows and JSON documents as text tables."""

EMPTY_TABLE = "(none)"
MAX_CELL_CHARS = 60


def table_lines(rows):
    """Format rows as the lines of a table.

    Parameters
    ----------
    rows : list of dict
        Rows with the same keys; the keys of the first row are the column headers.

    Returns
    -------
    list of str
    """
    if not rows:
        return [EMPTY_TABLE]
    headers = list(rows[0])
    cells = [[_format_cell(row.get(header)) for header in headers] for row in rows]
    widths = [max(len(row[i]) for row in [headers, *cells]) for i in range(len(headers))]
    lines = []
    for row in [headers, ["-" * width for width in widths], *cells]:
        parts = [text.ljust(width) for text, width in zip(row, widths, strict=True)]
        lines.append("  ".join(parts).rstrip())
    return lines


def section_lines(document):
    """Format a JSON object: its scalar fields, then one table for each list of objects.

    Parameters
    ----------
    document : dict

    Returns
    -------
    list of str
    """
    lines = []
    for name, value in document.items():
        if _is_table(value):
            continue
        lines.append(f"{name}: {_format_cell(value, limit=None)}")
    for name, value in document.items():
        if not _is_table(value):
            continue
        lines.extend(["", name, *table_lines(value)])
    return lines


def _is_table(value):
    return isinstance(value, list) and all(isinstance(item, dict) for item in value)


def _format_cell(value, limit=MAX_CELL_CHARS):
    if value is None:
        return "-"
    if isinstance(value, dict):
        text = ", ".join(f"{key}={_format_cell(item)}" for key, item in value.items())
    elif isinstance(value, list):
        text = ", ".join(_format_cell(item) for item in value)
    else:
        text = str(value)
    if limit is not None and len(text) > limit:
        return text[: limit - 1] + "…"
    return text
