"""Show how scores have changed over versions."""

from hemlockdock_cli.report.plot import draw
from hemlockdock_cli.report.read import read_records
from hemlockdock_cli.report.score import DayScore, ScoreRecord
from hemlockdock_cli.report.table import report_lines

__all__ = ["DayScore", "ScoreRecord", "draw", "read_records", "report_lines"]
