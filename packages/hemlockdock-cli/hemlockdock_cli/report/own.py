"""Decode journals in hemlockdock's native format: one JSON object per line."""

import msgspec

from hemlockdock_cli.report.score import ScoreRecord


def decode_records(data):
    """Decode the records of one journal file.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    list of ScoreRecord

    Raises
    ------
    msgspec.DecodeError
        Names the invalid field.
    """
    records = []
    for line in data.splitlines():
        if line.strip():
            records.append(msgspec.json.decode(line, type=ScoreRecord))
    return records
