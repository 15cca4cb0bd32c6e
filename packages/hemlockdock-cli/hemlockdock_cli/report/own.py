"""Read records in hemlockdock's own form: one JSON object a line."""

import msgspec

from hemlockdock_cli.report.score import ScoreRecord


def decode_records(data):
    """Return the records of one file.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    list of ScoreRecord

    Raises
    ------
    msgspec.DecodeError
        Names the field that is wrong.
    """
    records = []
    for line in data.splitlines():
        if line.strip():
            records.append(msgspec.json.decode(line, type=ScoreRecord))
    return records
