"""Lay out rows for people."""

EMPTY_TABLE = "(none)"
MAX_CELL = 60


def table_lines(rows):
    """Return the lines of a table.

    Parameters
    ----------
    rows : list of dict
        Rows with the same keys; the keys of the first one are the heads.

    Returns
    -------
    list of str
    """
    if not rows:
        return [EMPTY_TABLE]
    heads = list(rows[0])
    cells = [[_cell(row.get(head)) for head in heads] for row in rows]
    widths = [max(len(row[i]) for row in [heads, *cells]) for i in range(len(heads))]
    lines = []
    for row in [heads, ["-" * width for width in widths], *cells]:
        parts = [text.ljust(width) for text, width in zip(row, widths, strict=True)]
        lines.append("  ".join(parts).rstrip())
    return lines


def section_lines(document):
    """Return the lines of a JSON object: its plain fields, then a table for each list.

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
        lines.append(f"{name}: {_cell(value, limit=None)}")
    for name, value in document.items():
        if not _is_table(value):
            continue
        lines.extend(["", name, *table_lines(value)])
    return lines


def _is_table(value):
    return isinstance(value, list) and all(isinstance(item, dict) for item in value)


def _cell(value, limit=MAX_CELL):
    if value is None:
        return "-"
    if isinstance(value, dict):
        text = ", ".join(f"{key}={_cell(item)}" for key, item in value.items())
    elif isinstance(value, list):
        text = ", ".join(_cell(item) for item in value)
    else:
        text = str(value)
    if limit is not None and len(text) > limit:
        return text[: limit - 1] + "…"
    return text
