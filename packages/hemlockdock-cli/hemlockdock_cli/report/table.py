"""Format records as a table with a line for each run and a column for each day."""

FAILED = "!"
NO_SCORE = "-"


def report_lines(records):
    """Format records as the lines of one table for each site.

    Parameters
    ----------
    records : list of ScoreRecord

    Returns
    -------
    list of str
    """
    by_site = {}
    for record in records:
        by_site.setdefault(record.site, []).append(record)
    lines = []
    for site, site_records in sorted(by_site.items()):
        lines.extend(_site_lines(site, site_records))
    return lines


def _site_lines(site, records):
    names = _day_names(records)
    header = f"{'begun':20} {'version':10} {'score':>6}"
    lines = [f"{site}: worth by day; {FAILED} where a day did not pass"]
    lines.append(header + "".join(f" {name:>10}" for name in names) + "  why")
    for record in records:
        score = NO_SCORE if record.score is None else f"{record.score:.3f}"
        cells = "".join(f" {_format_worth(record, name):>10}" for name in names)
        prefix = f"{record.at[:19]:20} {record.version[:8]:10} {score:>6}"
        lines.append(f"{prefix}{cells}  {record.why}")
    lines.append("")
    return lines


def _day_names(records):
    names = []
    for record in records:
        for day in record.days:
            if day.high_mark is not None and day.name not in names:
                names.append(day.name)
    return names


def _format_worth(record, name):
    for day in record.days:
        if day.name == name:
            return f"{day.worth:.3f}" + ("" if day.passed else FAILED)
    return ""
