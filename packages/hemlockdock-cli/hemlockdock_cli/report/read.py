"""Read journals with a reader module that decodes their format."""

import importlib
from pathlib import Path

import msgspec

from hemlockdock_cli.command_error import CommandError
from hemlockdock_cli.exit_codes import ExitCode

JOURNAL_PATTERN = "*.json"


def read_records(paths, reader):
    """Return the records of all journals, the oldest first.

    Parameters
    ----------
    paths : iterable of str
        Files, or folders of which every ``.json`` file is read.
    reader : str
        Name of a module that defines ``decode_records``.

    Returns
    -------
    list of ScoreRecord

    Raises
    ------
    CommandError
        Names the file, and the invalid field if there is one.
    """
    try:
        decode_records = importlib.import_module(reader).decode_records
    except (ImportError, AttributeError) as error:
        raise CommandError(ExitCode.BAD_INPUT, f"reader {reader}: {error}") from error
    records = []
    for path in _journal_files(paths):
        try:
            records.extend(decode_records(path.read_bytes()))
        except (OSError, msgspec.MsgspecError) as error:
            raise CommandError(ExitCode.BAD_INPUT, f"{path}: {error}") from error
    records.sort(key=lambda record: record.at)
    return records


def _journal_files(paths):
    files = []
    for name in paths:
        path = Path(str(name))
        if path.is_dir():
            files.extend(sorted(path.glob(JOURNAL_PATTERN)))
        else:
            files.append(path)
    return files
